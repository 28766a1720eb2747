// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// TestInteractiveWaiterDoesNotReleaseHeldPatientRequest queues an interactive request for an adapter without patient
// requests. The zero hold time of that adapter must not be read as a hold that has ended.
func TestInteractiveWaiterDoesNotReleaseHeldPatientRequest(t *testing.T) {
	held := func(interactiveWaits bool) bool {
		first, second := endpoint(2), endpoint(2)
		second.Name, second.MaxBatch = "e2", 1
		p := newPlacer(first, second)
		p.HandleInspection(at(2), inspection(1, ref("a"), ref("b")))
		p.HandleInspection(at(2), placement.Inspection{Endpoint: "e2", Incarnation: "e2-1", StartedAt: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
		interactive := request("q1", "a")
		interactive.Avoid = "e1"
		require.Equal(t, 1, countGrants(p.Submit(at(3), interactive)), "the request takes the only place of e2")
		if interactiveWaits {
			interactive.ID = "q2"
			require.Zero(t, countGrants(p.Submit(at(4), interactive)), "e2 is full, and the request avoids e1")
		}
		patient := request("p", "b")
		patient.Class = "patient"
		return countGrants(p.Submit(at(5), patient)) == 0
	}
	require.True(t, held(false), "a single patient request is too few to start")
	require.True(t, held(true), "an interactive request for another adapter does not release it")
}
