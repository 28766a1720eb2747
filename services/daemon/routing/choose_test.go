// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

func TestAColdAdaptersHomeIsPassedOverJustAboveTheBoundedLoad(t *testing.T) {
	home, other := choose(router(8, 8), begin, "cold"), "h1/base"
	if home == other {
		other = "h2/base"
	}
	// Beside an idle pool, a load x lies above 1.25 times the mean and a tenth from x = 0.27 on: 3 of 8 places.
	for _, row := range []struct {
		free   int
		chosen string
	}{{8, home}, {7, home}, {6, home}, {5, other}, {0, other}} {
		r := router(8, row.free)
		if home == "h1/base" {
			r = router(row.free, 8)
		}
		require.Equal(t, row.chosen, choose(r, begin, "cold"), "%d of 8 places free", row.free)
	}
	require.Equal(t, home, choose(router(0, 0), begin, "cold"), "both are as full")
}

func TestWhichOfTwoPoolsThatHoldAnAdapterIsChosen(t *testing.T) {
	for _, row := range []struct {
		name                    string
		freeHere, waitingHere   int
		freeThere, waitingThere int
		chosen                  string
	}{
		{"room here, the other is idle", 1, 0, 8, 0, "h1/base"},
		{"as many wait here as places are free", 1, 1, 8, 0, "h2/base"},
		{"both full alike", 0, 0, 0, 0, "h1/base"},
		{"both full, fewer wait there", 0, 2, 0, 1, "h2/base"},
		{"both full, fewer wait here", 0, 1, 0, 2, "h1/base"},
	} {
		r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
		here, there := summary("h1", 1, 1, row.freeHere, "a@1"), summary("h2", 1, 1, row.freeThere, "a@1")
		here.Waiting, there.Waiting = row.waitingHere, row.waitingThere
		r.Learn(begin, here)
		r.Learn(begin, there)
		require.Equal(t, row.chosen, choose(r, begin, "a"), row.name)
	}
}

func TestAPoolWithoutPlacesIsChosenOnlyInTheOwnHall(t *testing.T) {
	for _, hall := range []string{"h1", "h2"} {
		r := router(8, 8)
		none := fleet.PoolSummary{Pool: hall + "/base", Epoch: 1, Seq: 2, Full: true, Added: []string{"a@1"}}
		r.Learn(begin, none)
		require.Equal(t, "h1/base", choose(r, begin, "a"), "%s has none", hall)
	}
}

func TestOfTwoAlikeTheOwnHallIsChosenWhicheverItIs(t *testing.T) {
	for _, own := range []string{"h1", "h2"} {
		r := routing.NewRouter(own, pools(), routing.DefaultOptions())
		r.Learn(begin, summary("h1", 1, 1, 0, "a@1"))
		r.Learn(begin, summary("h2", 1, 1, 0, "a@1"))
		require.Equal(t, own+"/base", choose(r, begin, "a"))
	}
}
