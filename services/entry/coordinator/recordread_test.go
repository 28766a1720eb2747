// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// testTakeoverDelay is the takeover delay of the instance in these tests.
const testTakeoverDelay = 300 * time.Millisecond

// startResigningPlanner starts the instance with the simulated planner of a fleet of 40, which then resigns. It returns
// the planner and the number of record reads before the resignation.
func (f *fixture) startResigningPlanner(t *testing.T) (planner *wirePeer, reads int) {
	t.Helper()
	f.takeoverDelay = testTakeoverDelay
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Term == 4 })
	reads = f.store.recordReadCount()
	resignation := changeView(11, "a2")
	resignation.Resigned = true
	require.NoError(t, planner.Send(wire.Message{View: resignation}))
	return planner, reads
}

// waitForLog waits until the instance has logged a message.
func (f *fixture) waitForLog(t *testing.T, message string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(f.log.AllEntries(), func(entry *logrus.Entry) bool { return entry.Message == message })
	}, waitLimit, time.Millisecond)
}

// TestDelayedInstanceSkipsRecordReadAfterSuccessor guards against superfluous reads: each of 195 instances read the
// record when a planner gave up, and again when it received the successor.
func TestDelayedInstanceSkipsRecordReadAfterSuccessor(t *testing.T) {
	f := newFixture()
	planner, reads := f.startResigningPlanner(t)
	successor := netip.MustParseAddrPort("127.0.0.8:7000")
	require.NoError(t, planner.Send(wire.Message{Successor: &wire.Successor{Term: 5, Address: successor}}))
	f.waitForLog(t, "a peer named a new planner")
	time.Sleep(2 * testTakeoverDelay)
	assert.Equal(t, reads, f.store.recordReadCount())
}

// TestDelayedInstanceReadsRecordWithoutSuccessor covers the case in which all other instances may be gone.
func TestDelayedInstanceReadsRecordWithoutSuccessor(t *testing.T) {
	f := newFixture()
	planner, reads := f.startResigningPlanner(t)
	go drainWire(planner)
	require.Eventually(t, func() bool { return f.store.recordReadCount() > reads }, waitLimit, time.Millisecond)
}

// TestNewPlannerKeepsGatherersOfFormerPlanner checks that a new planner keeps the gatherers until members have joined.
// Otherwise each member would read the operators' keys from the store.
func TestNewPlannerKeepsGatherersOfFormerPlanner(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Term == 4 })
	f.store.remove(heartbeatKey)
	planner.Close()
	gatherer.Close()
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	v := awaitMessage(t, f.joinWireMember(t, "member"), func(m wire.Message) bool { return m.View != nil }).View
	require.Len(t, v.Gatherers, 1)
	assert.Equal(t, "gatherer", v.Gatherers[0].Name)
}
