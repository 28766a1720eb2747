// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// TestAYoungWaiterBehindALongRowAsksForNoSecondCopy keeps somebody waiting for the adapter for longer than
// SecondCopyWait, while the only one who is left has waited for 2 ms.
func TestAYoungWaiterBehindALongRowAsksForNoSecondCopy(t *testing.T) {
	first, second := endpoint(1), endpoint(1)
	first.MaxBatch = 1
	second.Name = "e2"
	p := newPlacer(first, second)
	p.Inspected(at(2), list(1, ref("a")))
	running := only[placement.Grant](p.Submit(at(3), request("q1", "a")))
	require.Len(t, running, 1)
	p.Submit(at(4), request("q2", "a"))
	p.Submit(at(800), request("q3", "a"))
	require.Equal(t, 1, grants(p.Return(at(801), running[0].Ticket.ID)), "q2 starts")
	_, wants := p.Bid(at(802))
	require.False(t, wants, "q3 has waited for 2 ms, less than the wait that justifies another copy")
	_, wants = p.Bid(at(1400))
	require.True(t, wants, "q3 has waited for 600 ms")
}

// TestPatientWorkIsHeldAfterTheRequestThatHadToStartHasGone withdraws the request whose hold ends first.
func TestPatientWorkIsHeldAfterTheRequestThatHadToStartHasGone(t *testing.T) {
	e := endpoint(1)
	e.MaxBatch = 8
	p := newPlacer(e)
	p.Inspected(at(2), list(1, ref("a")))
	short := request("short", "a")
	short.Class, short.Deadline = "patient", at(10_000)
	require.Zero(t, grants(p.Submit(at(3), short)))
	long := request("long", "a")
	long.Class = "patient"
	require.Zero(t, grants(p.Submit(at(4), long)))
	p.Cancel(at(5), "short")
	require.Zero(t, grants(p.Tick(at(4000))), "the fifth of the time of the request that has gone has passed")
	require.Equal(t, 1, grants(p.Tick(at(4).Add(placement.DefaultOptions().GatherLimit+1))))
}

// TestTheBaseOfARetriedRequestIsKnown submits a later attempt to a placer that has not seen the first one.
func TestTheBaseOfARetriedRequestIsKnown(t *testing.T) {
	p := newPlacer(endpoint(1))
	r := request("q1", "a")
	r.Attempt = 1
	p.Submit(at(1), r)
	require.Equal(t, ref("a"), load(t, p, at(2)).Adapter)
}
