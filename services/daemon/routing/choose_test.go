// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

func TestHomePoolIsSkippedAboveBoundedLoad(t *testing.T) {
	home, other := choosePool(routerWithSummaries(8, 8), begin, "cold"), "h1/base"
	if home == other {
		other = "h2/base"
	}
	// If the other pool is idle, the mean of a load x is x/2, and x exceeds 1.25 * x/2 + 0.1 from x = 0.27 on: 3 of 8 places.
	for _, row := range []struct {
		free   int
		chosen string
	}{{8, home}, {7, home}, {6, home}, {5, other}, {0, other}} {
		r := routerWithSummaries(8, row.free)
		if home == "h1/base" {
			r = routerWithSummaries(row.free, 8)
		}
		require.Equal(t, row.chosen, choosePool(r, begin, "cold"), "%d of 8 places free", row.free)
	}
	require.Equal(t, home, choosePool(routerWithSummaries(0, 0), begin, "cold"), "both pools are full")
}

func TestChoiceBetweenTwoPoolsThatHoldAdapter(t *testing.T) {
	for _, row := range []struct {
		name                    string
		freeHere, waitingHere   int
		freeThere, waitingThere int
		chosen                  string
	}{
		{"own pool has a free place, other pool is idle", 1, 0, 8, 0, "h1/base"},
		{"own pool has as many waiting requests as free places", 1, 1, 8, 0, "h2/base"},
		{"both pools are equally full", 0, 0, 0, 0, "h1/base"},
		{"both pools are full, fewer requests wait in the other", 0, 2, 0, 1, "h2/base"},
		{"both pools are full, fewer requests wait in the own", 0, 1, 0, 2, "h1/base"},
	} {
		r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
		here, there := fullSummary("h1", 1, 1, row.freeHere, "a@1"), fullSummary("h2", 1, 1, row.freeThere, "a@1")
		here.Waiting, there.Waiting = row.waitingHere, row.waitingThere
		r.ApplySummary(begin, here)
		r.ApplySummary(begin, there)
		require.Equal(t, row.chosen, choosePool(r, begin, "a"), row.name)
	}
}

func TestPoolWithoutPlacesIsChosenOnlyInOwnHall(t *testing.T) {
	for _, hall := range []string{"h1", "h2"} {
		r := routerWithSummaries(8, 8)
		none := fleet.PoolSummary{Pool: hall + "/base", Epoch: 1, Seq: 2, Full: true, Added: []string{"a@1"}}
		r.ApplySummary(begin, none)
		require.Equal(t, "h1/base", choosePool(r, begin, "a"), "%s has no places", hall)
	}
}

func TestOwnHallIsPreferredAtEqualLoad(t *testing.T) {
	for _, own := range []string{"h1", "h2"} {
		r := routing.NewRouter(own, pools(), routing.DefaultOptions())
		r.ApplySummary(begin, fullSummary("h1", 1, 1, 0, "a@1"))
		r.ApplySummary(begin, fullSummary("h2", 1, 1, 0, "a@1"))
		require.Equal(t, own+"/base", choosePool(r, begin, "a"))
	}
}
