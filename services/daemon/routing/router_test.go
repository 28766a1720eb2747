// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// summary is a whole summary of a hall's one pool, with 8 places.
func summary(hall string, epoch, seq uint64, free int, adapters ...string) fleet.PoolSummary {
	return fleet.PoolSummary{Pool: hall + "/base", Epoch: epoch, Seq: seq, Full: true, Added: adapters, Free: free, Places: 8, Slots: 4}
}

// router knows both halls' pools, with the given places free.
func router(freeHere, freeThere int, adaptersThere ...string) *routing.Router {
	r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
	r.Learn(begin, summary("h1", 1, 1, freeHere))
	r.Learn(begin, summary("h2", 1, 1, freeThere, adaptersThere...))
	return r
}

func TestThePoolThatHoldsTheAdapterIsChosen(t *testing.T) {
	require.Equal(t, "h2/base", choose(router(8, 8, "a@1"), begin, "a"))
	require.Equal(t, "h2/base", choose(router(8, 0, "a@1"), begin, "a"), "also where it has no room")
}

func TestOfTwoThatHoldItTheOwnHallIsChosenWhileItHasRoom(t *testing.T) {
	r := router(1, 8, "a@1")
	r.Learn(begin, summary("h1", 1, 2, 1, "a@1"))
	require.Equal(t, "h1/base", choose(r, begin, "a"))
	require.Equal(t, "h2/base", choose(r, begin, "a"), "what was sent took the last place")
}

func TestAColdAdapterHasOneHomeUnlessItsPoolIsCrowded(t *testing.T) {
	home := choose(router(8, 8), begin, "cold")
	require.Equal(t, home, choose(router(8, 8), begin, "cold"), "the same for every entry")
	crowded, other := router(0, 8), "h2/base"
	if home == other {
		crowded, other = router(8, 0), "h1/base"
	}
	require.Equal(t, other, choose(crowded, begin, "cold"))
}

func TestAHallThatIsCutOrNotHeardOfIsNotChosen(t *testing.T) {
	r := router(0, 8, "a@1")
	r.SetCut("h2", true)
	require.Equal(t, "h1/base", choose(r, begin, "a"))
	r.SetCut("h2", false)
	fresh := routing.DefaultOptions().Fresh
	require.Equal(t, "h2/base", choose(r, begin.Add(fresh), "a"))
	require.Equal(t, "h1/base", choose(r, begin.Add(fresh+1), "a"))
	r.Heard(begin.Add(fresh + 1))
	require.Equal(t, "h2/base", choose(r, begin.Add(fresh+1), "a"), "its carrier vouches that nothing has changed")
}

func TestOnlyPoolsOfTheBaseAndTheHallsNamedAreChosen(t *testing.T) {
	r := router(8, 8, "a@1")
	q := fleet.Request{Base: "base", Adapter: fleet.AdapterRef{Name: "a", Version: 1}}
	pool, ok := r.Choose(begin, q, []string{"h1"})
	require.True(t, ok)
	require.Equal(t, "h1/base", pool)
	_, ok = r.Choose(begin, q, []string{"h3"})
	require.False(t, ok)
	q.Base = "other"
	_, ok = r.Choose(begin, q, nil)
	require.False(t, ok)
}

func TestALateOrRepeatedSummaryTakesNothingBack(t *testing.T) {
	r := router(8, 8, "a@1")
	require.True(t, r.Learn(begin, summary("h2", 1, 3, 8, "b@1")))
	require.True(t, r.Learn(begin, summary("h2", 1, 2, 8, "a@1")), "late: nothing is missing")
	require.Equal(t, "h2/base", choose(r, begin, "b"))
	require.True(t, r.Learn(begin, summary("h2", 1, 3, 8, "b@1")))
	require.Equal(t, "h2/base", choose(r, begin, "b"))
	require.True(t, r.Learn(begin, fleet.PoolSummary{Pool: "h9/base", Seq: 1}), "an unknown pool needs nothing")
}

func TestANewPublisherNeedsAWholeSummaryFirst(t *testing.T) {
	r := router(8, 8, "a@1")
	part := fleet.PoolSummary{Pool: "h2/base", Epoch: 2, Seq: 5, Base: 0, Free: 8, Places: 8}
	require.False(t, r.Learn(begin, part))
	require.False(t, r.Learn(begin, part), "still")
	_, ok := r.Export(begin, "h2/base", true)
	require.False(t, ok, "what has a gap is not passed on")
	require.True(t, r.Learn(begin, summary("h2", 2, 6, 8, "c@1")))
	out, ok := r.Export(begin, "h2/base", true)
	require.True(t, ok)
	require.Equal(t, []string{"c@1"}, out.Added)
}

func TestAnOlderPublisherIsHeardAgainOnceTheNewerIsSilent(t *testing.T) {
	r := router(8, 8)
	require.True(t, r.Learn(begin, summary("h2", 7, 1, 8, "new@1")))
	require.True(t, r.Learn(begin, summary("h2", 3, 9, 8, "old@1")))
	require.Equal(t, "h2/base", choose(r, begin, "new"))
	later := begin.Add(routing.DefaultOptions().Fresh + 1)
	require.True(t, r.Learn(later, summary("h2", 3, 9, 8, "old@1")))
	require.Equal(t, "h2/base", choose(r, later, "old"))
}

func TestChangesCountAsRecentForAFewSeconds(t *testing.T) {
	r := router(8, 8)
	require.False(t, r.Changing(begin.Add(time.Minute), "h2/base"))
	now := begin.Add(time.Minute)
	r.Learn(now, summary("h2", 1, 2, 8, "a@1"))
	require.True(t, r.Changing(now.Add(3*time.Second), "h2/base"))
	require.False(t, r.Changing(now.Add(3*time.Second+1), "h2/base"))
	require.False(t, r.Changing(now, "h9/base"))
}
