// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// TestUrgentWaiterDoesNotEndTheHoldOfPatientWork has an urgent request wait for an adapter that no patient work waits
// for: the missing end of its hold is none that has passed.
func TestUrgentWaiterDoesNotEndTheHoldOfPatientWork(t *testing.T) {
	held := func(urgentWaits bool) bool {
		first, second := endpoint(2), endpoint(2)
		second.Name, second.MaxBatch = "e2", 1
		p := newPlacer(first, second)
		p.Inspected(at(2), list(1, ref("a"), ref("b")))
		p.Inspected(at(2), placement.Inspection{Endpoint: "e2", Incarnation: "e2-1", Began: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
		urgent := request("q1", "a")
		urgent.Avoid = "e1"
		require.Equal(t, 1, grants(p.Submit(at(3), urgent)), "the only place of e2")
		if urgentWaits {
			urgent.ID = "q2"
			require.Zero(t, grants(p.Submit(at(4), urgent)), "e2 is full, and e1 to be avoided")
		}
		patient := request("p", "b")
		patient.Class = "patient"
		return grants(p.Submit(at(5), patient)) == 0
	}
	require.True(t, held(false), "one patient request is too few to start")
	require.True(t, held(true), "a request for another adapter makes it no more")
}
