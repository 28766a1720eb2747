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

// TestFormerPlannerSendsSuccessorToMembers guards against a failure of instances that the store rejected while another
// instance became the planner: the former planner closed their links without naming its successor. They could not find the
// new planner elsewhere, and received neither configurations nor named versions until the store answered them again: 22 of
// 66 instances for 11 s on one day.
func TestFormerPlannerSendsSuccessorToMembers(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	informed, turnedAway := f.connectPeer(t), f.connectPeer(t)
	require.NoError(t, informed.Send(wireMessage{Report: &wireReport{Instance: "informed"}}))
	require.NoError(t, turnedAway.Send(wireMessage{Report: &wireReport{Instance: "turned-away"}}))
	f.waitForStatus(t, "has all members", func(status coordinator.Status) bool { return status.Members == 3 })
	go drain(informed)
	f.network.refuseDials = true
	require.NoError(t, informed.Send(wireMessage{Successor: &wireSuccessor{Term: 9, Address: otherAddress}}))
	message := receiveUntil(t, turnedAway, func(m wireMessage) bool { return m.Successor != nil })
	assert.Equal(t, wireSuccessor{Term: 9, Address: otherAddress}, *message.Successor)
}

// TestMemberDialsSuccessorNamedByPlanner covers the member of such a planner while the store does not answer.
func TestMemberDialsSuccessorNamedByPlanner(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	former := f.acceptDial(t)
	go drain(former)
	require.NoError(t, former.Send(wireMessage{View: fullView(4)}))
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Term == 4 })
	f.store.setDown(true)
	require.NoError(t, former.Send(wireMessage{Successor: &wireSuccessor{Term: 3, Address: otherAddress}}))
	require.NoError(t, former.Send(wireMessage{Successor: &wireSuccessor{Term: 9, Address: otherAddress}}))
	require.Eventually(t, func() bool { return f.network.lastDialed() == otherAddress }, waitLimit, pollInterval)
}
