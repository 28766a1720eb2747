// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// TestViewContainsUnreachableEndpoints checks that a view lists an endpoint that two members cannot reach, and no longer
// lists it when one of them reaches it again.
func TestViewContainsUnreachableEndpoints(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	one, other := f.joinWireMember(t, "one"), f.joinWireMember(t, "other")
	go drainWire(other)
	report := func(stream *wirePeer, instance string, unreached ...deployment.EndpointID) {
		require.NoError(t, stream.Send(wire.Message{Report: &wire.Report{Instance: instance, Unreachable: unreached, Suspects: unreached}}))
	}
	hasUnreachable := func(ids ...deployment.EndpointID) func(wire.Message) bool {
		return func(m wire.Message) bool {
			return m.View != nil && m.View.Unreachable != nil && assert.ObjectsAreEqual(ids, m.View.Unreachable.IDs)
		}
	}
	report(one, "one", "e1")
	report(other, "other", "e1")
	awaitMessage(t, one, hasUnreachable("e1"))
	report(other, "other")
	awaitMessage(t, one, hasUnreachable())
}

// TestUnreachableEndpointGetsNoRequests checks that the instance sends no requests to an endpoint that refuses the
// connections of other instances, even if it has sent none there itself.
func TestUnreachableEndpointGetsNoRequests(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	_, _, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	dead := changeView(11, "a2")
	dead.Unreachable = &wire.EndpointList{IDs: []deployment.EndpointID{"e1"}}
	require.NoError(t, planner.Send(wire.Message{View: dead}))
	require.Eventually(t, func() bool {
		_, _, err := f.acquire("a1", 30*time.Millisecond)
		return err != nil
	}, waitLimit, time.Millisecond)
	alive := changeView(12, "a3")
	alive.Unreachable = &wire.EndpointList{}
	require.NoError(t, planner.Send(wire.Message{View: alive}))
	_, _, err = f.acquire("a3", waitLimit)
	assert.NoError(t, err)
}
