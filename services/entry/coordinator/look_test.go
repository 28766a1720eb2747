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

// lookReluctance is how long the instance of these tests leaves the record to others.
const lookReluctance = 300 * time.Millisecond

// resigned lets the planner of a fleet of 40 say that it gives no more orders.
func (s *site) resigned(t *testing.T) (planner *wirePeer, looks int) {
	t.Helper()
	s.reluctance = lookReluctance
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Term == 4 })
	looks = s.store.recordReadings()
	end := changeOf(11, "a2")
	end.Resigned = true
	require.NoError(t, planner.Send(wire.Message{View: end}))
	return planner, looks
}

// waitForLine waits until the instance has logged a message.
func (s *site) waitForLine(t *testing.T, message string) {
	t.Helper()
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(s.log.AllEntries(), func(entry *logrus.Entry) bool { return entry.Message == message })
	}, waitLimit, time.Millisecond)
}

// TestAnInstanceThatLeavesTheRecordToOthersIsToldWhoTookIt: each of 195 instances read the record when a planner gave up, and again when it
// was told so.
func TestAnInstanceThatLeavesTheRecordToOthersIsToldWhoTookIt(t *testing.T) {
	s := newSite()
	planner, looks := s.resigned(t)
	successor := netip.MustParseAddrPort("127.0.0.8:7000")
	require.NoError(t, planner.Send(wire.Message{Successor: &wire.Successor{Term: 5, Address: successor}}))
	s.waitForLine(t, "planner learned from a peer")
	time.Sleep(2 * lookReluctance)
	assert.Equal(t, looks, s.store.recordReadings())
}

// TestAnInstanceThatIsToldOfNoSuccessorLooksItself: all others may be gone.
func TestAnInstanceThatIsToldOfNoSuccessorLooksItself(t *testing.T) {
	s := newSite()
	planner, looks := s.resigned(t)
	go drainWire(planner)
	require.Eventually(t, func() bool { return s.store.recordReadings() > looks }, waitLimit, time.Millisecond)
}

// TestANewPlannerGoesOnWithTheGatherersOfTheOneBefore: until it has heard who can gather, members would each read the operators' keys.
func TestANewPlannerGoesOnWithTheGatherersOfTheOneBefore(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Term == 4 })
	s.store.remove(heartbeatKey)
	planner.Close()
	gatherer.Close()
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	v := await(t, s.member(t, "member"), func(m wire.Message) bool { return m.View != nil }).View
	require.Len(t, v.Gatherers, 1)
	assert.Equal(t, "gatherer", v.Gatherers[0].Name)
}
