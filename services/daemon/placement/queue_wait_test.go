// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// TestSecondCopyDependsOnWaitOfOldestRemainingRequest keeps the queue of the adapter non-empty for longer than
// SecondCopyWait, while the only remaining request has waited for 2 ms.
func TestSecondCopyDependsOnWaitOfOldestRemainingRequest(t *testing.T) {
	first, second := endpoint(1), endpoint(1)
	first.MaxBatch = 1
	second.Name = "e2"
	p := newPlacer(first, second)
	p.HandleInspection(at(2), inspection(1, ref("a")))
	running := effectsOfType[placement.Grant](p.Submit(at(3), request("q1", "a")))
	require.Len(t, running, 1)
	p.Submit(at(4), request("q2", "a"))
	p.Submit(at(800), request("q3", "a"))
	require.Equal(t, 1, countGrants(p.ReturnTicket(at(801), running[0].Ticket.ID)), "q2 starts")
	_, found := p.BestBid(at(802))
	require.False(t, found, "q3 has waited for 2 ms, less than SecondCopyWait")
	_, found = p.BestBid(at(1400))
	require.True(t, found, "q3 has waited for 600 ms")
}

// TestWithdrawnPatientRequestDoesNotEndHoldOfOthers withdraws the patient request whose hold ends first.
func TestWithdrawnPatientRequestDoesNotEndHoldOfOthers(t *testing.T) {
	e := endpoint(1)
	e.MaxBatch = 8
	p := newPlacer(e)
	p.HandleInspection(at(2), inspection(1, ref("a")))
	short := request("short", "a")
	short.Class, short.Deadline = "patient", at(10_000)
	require.Zero(t, countGrants(p.Submit(at(3), short)))
	long := request("long", "a")
	long.Class = "patient"
	require.Zero(t, countGrants(p.Submit(at(4), long)))
	p.Withdraw(at(5), "short")
	require.Zero(t, countGrants(p.Tick(at(4000))), "a fifth of the time until the deadline of the withdrawn request has passed")
	require.Equal(t, 1, countGrants(p.Tick(at(4).Add(placement.DefaultOptions().GatherLimit+1))))
}

// TestBaseIsRecordedForRetriedRequest submits a second attempt to a placer that did not receive the first one.
func TestBaseIsRecordedForRetriedRequest(t *testing.T) {
	p := newPlacer(endpoint(1))
	r := request("q1", "a")
	r.Attempt = 1
	p.Submit(at(1), r)
	require.Equal(t, ref("a"), orderLoad(t, p, at(2)).Adapter)
}
