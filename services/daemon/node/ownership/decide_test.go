// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership_test

import (
	"cmp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/ring"
	"github.com/shelfledge/shelfledge/services/daemon/node/ownership"
)

const pool = "h1/base"

func claim(instance string, term uint64) ownership.Claim {
	return ownership.Claim{Instance: instance, Term: term}
}

// rankedInstances returns three instances, the best candidate for the pool first.
func rankedInstances() []string {
	out := []string{"i1", "i2", "i3"}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(ring.Score(pool, b), ring.Score(pool, a)) })
	return out
}

func TestHighestClaimDoesNotDependOnOrder(t *testing.T) {
	r := rankedInstances()
	for _, row := range []struct {
		name   string
		claims []ownership.Claim
		want   ownership.Claim
	}{
		{"higher term", []ownership.Claim{claim(r[0], 3), claim(r[2], 4)}, claim(r[2], 4)},
		{"equal terms, higher score", []ownership.Claim{claim(r[2], 4), claim(r[0], 4), claim(r[1], 4)}, claim(r[0], 4)},
		{"repeated claim", []ownership.Claim{claim(r[1], 4), claim(r[1], 4)}, claim(r[1], 4)},
	} {
		got, ok := ownership.HighestClaim(pool, row.claims)
		require.True(t, ok)
		require.Equal(t, row.want, got, row.name)
		for i, j := 0, len(row.claims)-1; i < j; i, j = i+1, j-1 {
			row.claims[i], row.claims[j] = row.claims[j], row.claims[i]
		}
		got, _ = ownership.HighestClaim(pool, row.claims)
		require.Equal(t, row.want, got, row.name+", in reverse order")
	}
	_, ok := ownership.HighestClaim(pool, nil)
	require.False(t, ok)
}

func TestExactlyOneOfTwoClaimsYields(t *testing.T) {
	r := rankedInstances()
	for _, pair := range [][2]ownership.Claim{
		{claim(r[0], 4), claim(r[1], 4)},
		{claim(r[0], 4), claim(r[1], 5)},
		{claim(r[0], 1), claim(r[2], 1<<62)},
	} {
		there, back := ownership.Yields(pool, pair[0], pair[1]), ownership.Yields(pool, pair[1], pair[0])
		require.NotEqual(t, there, back, "%v", pair)
	}
	require.False(t, ownership.Yields(pool, claim(r[0], 4), claim(r[0], 4)), "a claim does not yield to itself")
}

func TestDecision(t *testing.T) {
	r := rankedInstances()
	all := func() []string { return r }
	costly := func() []string {
		t.Fatal("candidates must be requested only if the decision depends on them")
		return nil
	}
	best, other := r[0], r[1]
	for _, row := range []struct {
		name string
		s    ownership.Situation
		want ownership.Action
	}{
		{"no claim, best candidate", ownership.Situation{OwnClaim: claim(best, 0), Candidates: all}, ownership.TakeOver},
		{"no claim, another candidate is better", ownership.Situation{OwnClaim: claim(other, 0), Candidates: all}, ownership.Follow},
		{"no claim, the better candidate was lost", ownership.Situation{OwnClaim: claim(other, 0), Candidates: func() []string { return r[1:] }}, ownership.TakeOver},
		{"no candidates", ownership.Situation{OwnClaim: claim(other, 0), Candidates: func() []string { return nil }}, ownership.Follow},
		{"starting up", ownership.Situation{OwnClaim: claim(best, 0), StartingUp: true, Candidates: costly}, ownership.Follow},
		{"stopping", ownership.Situation{OwnClaim: claim(best, 0), Leaving: true, Candidates: costly}, ownership.Follow},
		{"announced by a worse candidate", ownership.Situation{OwnClaim: claim(best, 0), Announced: claim(other, 1), HasAnnounced: true, Candidates: costly}, ownership.Follow},
		{"held, no other claim", ownership.Situation{OwnClaim: claim(other, 3), IsPlacer: true, Candidates: costly}, ownership.Keep},
		{"held, a late claim of an older term", ownership.Situation{OwnClaim: claim(other, 3), IsPlacer: true, Announced: claim(best, 2), HasAnnounced: true, Candidates: costly}, ownership.Keep},
		{"held, equal term, lower score", ownership.Situation{OwnClaim: claim(other, 3), IsPlacer: true, Announced: claim(best, 3), HasAnnounced: true, Candidates: costly}, ownership.StepDown},
		{"held, equal term, higher score", ownership.Situation{OwnClaim: claim(best, 3), IsPlacer: true, Announced: claim(other, 3), HasAnnounced: true, Candidates: costly}, ownership.Keep},
		{"held, higher term", ownership.Situation{OwnClaim: claim(best, 3), IsPlacer: true, Announced: claim(other, 4), HasAnnounced: true, Candidates: costly}, ownership.StepDown},
		{"held while stopping", ownership.Situation{OwnClaim: claim(best, 3), IsPlacer: true, Leaving: true, Candidates: costly}, ownership.Keep},
		{"held while starting up, after a handover", ownership.Situation{OwnClaim: claim(best, 3), IsPlacer: true, StartingUp: true, Candidates: costly}, ownership.Keep},
	} {
		row.s.Pool = pool
		require.Equal(t, row.want, ownership.Decide(row.s), row.name)
	}
}

func TestNextTermIsAboveEveryReceivedTerm(t *testing.T) {
	for _, row := range []struct{ highest, boot, want uint64 }{
		{0, 0, 1}, {0, 1, 1}, {4, 5, 5}, {5, 5, 6}, {9, 5, 10}, {0, 1 << 40, 1 << 40},
	} {
		require.Equal(t, row.want, ownership.NextTerm(row.highest, row.boot), "%+v", row)
	}
}
