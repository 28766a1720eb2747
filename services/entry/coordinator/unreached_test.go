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

// TestAPlannerTellsWhichEndpointsRefuseConnections: of two members, and no more once one of them reaches it again.
func TestAPlannerTellsWhichEndpointsRefuseConnections(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	one, other := s.member(t, "one"), s.member(t, "other")
	go drainWire(other)
	report := func(stream *wirePeer, instance string, unreached ...deployment.EndpointID) {
		require.NoError(t, stream.Send(wire.Message{Report: &wire.Report{Instance: instance, Unreached: unreached, Suspects: unreached}}))
	}
	tells := func(ids ...deployment.EndpointID) func(wire.Message) bool {
		return func(m wire.Message) bool {
			return m.View != nil && m.View.Unreached != nil && assert.ObjectsAreEqual(ids, m.View.Unreached.IDs)
		}
	}
	report(one, "one", "e1")
	report(other, "other", "e1")
	await(t, one, tells("e1"))
	report(other, "other")
	await(t, one, tells())
}

// TestAnInstanceSendsNothingToAnEndpointThatRefusesOthers: it has sent nothing there itself.
func TestAnInstanceSendsNothingToAnEndpointThatRefusesOthers(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	go drainWire(planner)
	_, _, err := s.acquire("a1", waitLimit)
	require.NoError(t, err)
	dead := changeOf(11, "a2")
	dead.Unreached = &wire.EndpointList{IDs: []deployment.EndpointID{"e1"}}
	require.NoError(t, planner.Send(wire.Message{View: dead}))
	require.Eventually(t, func() bool {
		_, _, err := s.acquire("a1", 30*time.Millisecond)
		return err != nil
	}, waitLimit, time.Millisecond)
	alive := changeOf(12, "a3")
	alive.Unreached = &wire.EndpointList{}
	require.NoError(t, planner.Send(wire.Message{View: alive}))
	_, _, err = s.acquire("a3", waitLimit)
	assert.NoError(t, err)
}
