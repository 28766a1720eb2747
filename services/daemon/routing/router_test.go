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

// fullSummary returns a full summary of a hall's only pool, which has 8 places.
func fullSummary(hall string, epoch, seq uint64, free int, adapters ...string) fleet.PoolSummary {
	return fleet.PoolSummary{Pool: hall + "/base", Epoch: epoch, Seq: seq, Full: true, Added: adapters, Free: free, Places: 8, Slots: 4}
}

// routerWithSummaries returns a router of hall h1 with summaries of both halls' pools that report the given free places.
func routerWithSummaries(freeHere, freeThere int, adaptersThere ...string) *routing.Router {
	r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
	r.ApplySummary(begin, fullSummary("h1", 1, 1, freeHere))
	r.ApplySummary(begin, fullSummary("h2", 1, 1, freeThere, adaptersThere...))
	return r
}

func TestPoolThatHoldsAdapterIsChosen(t *testing.T) {
	require.Equal(t, "h2/base", choosePool(routerWithSummaries(8, 8, "a@1"), begin, "a"))
	require.Equal(t, "h2/base", choosePool(routerWithSummaries(8, 0, "a@1"), begin, "a"), "the pool has no free places")
}

func TestOwnHallIsChosenWhileItHasFreePlaces(t *testing.T) {
	r := routerWithSummaries(1, 8, "a@1")
	r.ApplySummary(begin, fullSummary("h1", 1, 2, 1, "a@1"))
	require.Equal(t, "h1/base", choosePool(r, begin, "a"))
	require.Equal(t, "h2/base", choosePool(r, begin, "a"), "the first request took the last place")
}

func TestColdAdapterHasOneHomePoolUnlessOverloaded(t *testing.T) {
	home := choosePool(routerWithSummaries(8, 8), begin, "cold")
	require.Equal(t, home, choosePool(routerWithSummaries(8, 8), begin, "cold"), "the home pool is the same for every entry")
	crowded, other := routerWithSummaries(0, 8), "h2/base"
	if home == other {
		crowded, other = routerWithSummaries(8, 0), "h1/base"
	}
	require.Equal(t, other, choosePool(crowded, begin, "cold"))
}

func TestUnreachableOrStaleHallIsNotChosen(t *testing.T) {
	r := routerWithSummaries(0, 8, "a@1")
	r.SetCutOff("h2", true)
	require.Equal(t, "h1/base", choosePool(r, begin, "a"))
	r.SetCutOff("h2", false)
	maxAge := routing.DefaultOptions().MaxSummaryAge
	require.Equal(t, "h2/base", choosePool(r, begin.Add(maxAge), "a"))
	require.Equal(t, "h1/base", choosePool(r, begin.Add(maxAge+1), "a"))
	r.ConfirmSummaries(begin.Add(maxAge + 1))
	require.Equal(t, "h2/base", choosePool(r, begin.Add(maxAge+1), "a"), "the summary was confirmed as unchanged")
}

func TestChoiceIsLimitedToBaseAndGivenHalls(t *testing.T) {
	r := routerWithSummaries(8, 8, "a@1")
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

func TestLateOrRepeatedSummaryIsIgnored(t *testing.T) {
	r := routerWithSummaries(8, 8, "a@1")
	require.True(t, r.ApplySummary(begin, fullSummary("h2", 1, 3, 8, "b@1")))
	require.True(t, r.ApplySummary(begin, fullSummary("h2", 1, 2, 8, "a@1")), "a late summary requires no full summary")
	require.Equal(t, "h2/base", choosePool(r, begin, "b"))
	require.True(t, r.ApplySummary(begin, fullSummary("h2", 1, 3, 8, "b@1")))
	require.Equal(t, "h2/base", choosePool(r, begin, "b"))
	require.True(t, r.ApplySummary(begin, fleet.PoolSummary{Pool: "h9/base", Seq: 1}), "an unknown pool requires no full summary")
}

func TestNewPublisherRequiresFullSummary(t *testing.T) {
	r := routerWithSummaries(8, 8, "a@1")
	part := fleet.PoolSummary{Pool: "h2/base", Epoch: 2, Seq: 5, Base: 0, Free: 8, Places: 8}
	require.False(t, r.ApplySummary(begin, part))
	require.False(t, r.ApplySummary(begin, part), "a repeated partial summary does not close the gap")
	_, ok := r.Export(begin, "h2/base", true)
	require.False(t, ok, "an incomplete state is not exported")
	require.True(t, r.ApplySummary(begin, fullSummary("h2", 2, 6, 8, "c@1")))
	out, ok := r.Export(begin, "h2/base", true)
	require.True(t, ok)
	require.Equal(t, []string{"c@1"}, out.Added)
}

func TestOlderPublisherIsAcceptedAfterNewerTimesOut(t *testing.T) {
	r := routerWithSummaries(8, 8)
	require.True(t, r.ApplySummary(begin, fullSummary("h2", 7, 1, 8, "new@1")))
	require.True(t, r.ApplySummary(begin, fullSummary("h2", 3, 9, 8, "old@1")))
	require.Equal(t, "h2/base", choosePool(r, begin, "new"))
	later := begin.Add(routing.DefaultOptions().MaxSummaryAge + 1)
	require.True(t, r.ApplySummary(later, fullSummary("h2", 3, 9, 8, "old@1")))
	require.Equal(t, "h2/base", choosePool(r, later, "old"))
}

func TestHasRecentChangesWithinRetention(t *testing.T) {
	r := routerWithSummaries(8, 8)
	require.False(t, r.HasRecentChanges(begin.Add(time.Minute), "h2/base"))
	now := begin.Add(time.Minute)
	r.ApplySummary(now, fullSummary("h2", 1, 2, 8, "a@1"))
	require.True(t, r.HasRecentChanges(now.Add(3*time.Second), "h2/base"))
	require.False(t, r.HasRecentChanges(now.Add(3*time.Second+1), "h2/base"))
	require.False(t, r.HasRecentChanges(now, "h9/base"))
}
