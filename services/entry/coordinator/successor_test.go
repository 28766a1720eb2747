// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

var otherAddress = netip.MustParseAddrPort("127.0.0.1:3003")

// TestAFormerPlannerTellsItsMembersWhoPlans is about instances that the store turned away while the planner's work passed on to one that
// it answered: the former planner closed their links without a word. They could read nowhere who plans, and learned neither
// configurations nor named versions for as long as the store turned them away: 22 of 66 instances for 11 s on a day of ours.
func TestAFormerPlannerTellsItsMembersWhoPlans(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	informed, turnedAway := s.join(t), s.join(t)
	require.NoError(t, informed.Send(wireMessage{Report: &wireReport{Instance: "informed"}}))
	require.NoError(t, turnedAway.Send(wireMessage{Report: &wireReport{Instance: "turned-away"}}))
	s.waitForStatus(t, "members", func(status coordinator.Status) bool { return status.Members == 3 })
	go drain(informed)
	s.pipes.refuse = true
	require.NoError(t, informed.Send(wireMessage{Successor: &wireSuccessor{Term: 9, Address: otherAddress}}))
	told := receive(t, turnedAway, func(m wireMessage) bool { return m.Successor != nil })
	assert.Equal(t, wireSuccessor{Term: 9, Address: otherAddress}, *told.Successor)
}

// TestAMemberFollowsTheSuccessorThatItsPlannerNames is the other side of it, while the store does not answer.
func TestAMemberFollowsTheSuccessorThatItsPlannerNames(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	former := s.link(t)
	go drain(former)
	require.NoError(t, former.Send(wireMessage{View: fullView(4)}))
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Term == 4 })
	s.store.setDown(true)
	require.NoError(t, former.Send(wireMessage{Successor: &wireSuccessor{Term: 3, Address: otherAddress}}))
	require.NoError(t, former.Send(wireMessage{Successor: &wireSuccessor{Term: 9, Address: otherAddress}}))
	require.Eventually(t, func() bool { return s.pipes.lastDialed() == otherAddress }, waitLimit, lookPace)
}
