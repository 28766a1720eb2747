// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

// followPlanner starts the instance with a planner that the test simulates, and waits until the instance has applied the
// planner's first view.
func (f *fixture) followPlanner(t *testing.T, first *wireView) *rawPeer {
	t.Helper()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	require.NoError(t, planner.Send(wireMessage{View: first}))
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Term == first.Term })
	return planner
}

func TestFollowerReportsAndServesByViews(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	first := receiveUntil(t, planner, func(m wireMessage) bool { return m.Report != nil })
	assert.Equal(t, selfName, first.Report.Instance)
	require.NoError(t, planner.Send(wireMessage{View: fullView(4, "a1")}))
	go drain(planner)
	assignment, _, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	assert.EqualValues(t, "e1", assignment.Endpoint.ID)
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Planner == "peer" && status.Term == 4 })

	require.NoError(t, planner.Send(wireMessage{View: fullView(3)}), "a view of an earlier term")
	time.Sleep(30 * time.Millisecond)
	assert.EqualValues(t, 4, f.instance.Status().Term)
	_, _, err = f.acquire("a1", waitLimit)
	assert.NoError(t, err, "the view of an earlier term is ignored")
	require.NoError(t, planner.Send(wireMessage{View: fullView(4, "a1")}), "the same view again")
	_, _, err = f.acquire("a1", waitLimit)
	assert.NoError(t, err)
}

func TestFollowerRefusesRequestIfLoadExpectedTooLate(t *testing.T) {
	f := newFixture()
	view := fullView(4)
	view.Backlogs = map[string]time.Duration{service: 4 * time.Second}
	go drain(f.followPlanner(t, view))
	startedAt := time.Now()
	_, _, err := f.acquire("a9", waitLimit)
	var refusal *coordinator.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, admission.AdapterNotLoaded, refusal.Reason)
	assert.Less(t, time.Since(startedAt), 200*time.Millisecond)
	assert.Greater(t, refusal.RetryAfter, 3500*time.Millisecond)
	assert.Less(t, refusal.RetryAfter, 4300*time.Millisecond)
}

func TestFollowerTakesLeaseAfterHeartbeatExpires(t *testing.T) {
	f := newFixture()
	planner := f.followPlanner(t, fullView(4, "a1"))
	f.network.refuseDials = true
	planner.Close()
	time.Sleep(1500 * time.Millisecond)
	assert.False(t, f.instance.Status().Planning, "the lease holder's heartbeat is still in the store")
	f.store.mutex.Lock()
	delete(f.store.items, heartbeatKey)
	f.store.mutex.Unlock()
	f.waitForStatus(t, "takes the lease", func(status coordinator.Status) bool { return status.Planning })
	record, _ := f.store.record(t)
	assert.EqualValues(t, 5, record.Term)
	assert.Equal(t, "peer", record.Former)
	assert.False(t, record.Ordering, "the new holder waits until the former lease is over")
}

func TestResignedPlannerIsReplacedWithoutWaiting(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	view := fullView(4, "a1")
	view.Resigned = true
	require.NoError(t, planner.Send(wireMessage{View: view}))
	go drain(planner)
	startedAt := time.Now()
	f.waitForOrdering(t, 5)
	assert.Less(t, time.Since(startedAt), time.Second)
}

func TestInstanceWithoutStoreStartsFromSeed(t *testing.T) {
	f := newFixture()
	f.store.setDown(true)
	f.start(t, selfAddress, peerAddress)
	seed := f.acceptDial(t)
	request := receiveUntil(t, seed, func(m wireMessage) bool { return m.Request != nil })
	assert.Equal(t, selfName, request.Request.Instance)
	answer := fullView(6, "a1")
	answer.Address = &peerAddress
	answer.Items = []store.Item{{Key: configurationKey, Value: []byte("3"), Revision: 50}}
	require.NoError(t, seed.Send(wireMessage{View: answer}))
	require.Eventually(t, f.instance.Ready, waitLimit, pollInterval)
	_, _, err := f.acquire("a1", waitLimit)
	assert.NoError(t, err)
	planner := f.acceptDial(t)
	message, err := planner.Receive(waitLimit, time.Now)
	require.NoError(t, err)
	assert.NotNil(t, message.Report, "the instance reports to the planner that the seed named")
}

func TestSeedAnswerNamesPlanner(t *testing.T) {
	t.Run("the instance is the planner", func(t *testing.T) {
		f := newFixture()
		f.start(t)
		f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && f.instance.Ready() })
		assert.Equal(t, selfAddress, *f.requestSeedView(t).Address)
	})
	t.Run("another instance is the planner", func(t *testing.T) {
		f := newFixture()
		f.setOtherPlanner(t)
		f.start(t)
		f.acceptDial(t)
		require.Eventually(t, f.instance.Ready, waitLimit, pollInterval)
		answer := f.requestSeedView(t)
		assert.Equal(t, peerAddress, *answer.Address)
		assert.EqualValues(t, 4, answer.Term)
	})
}

// requestSeedView requests the configuration and the planner's address like a starting peer. It returns the answer, which
// contains an address.
func (f *fixture) requestSeedView(t *testing.T) *wireView {
	t.Helper()
	peer := f.connectPeer(t)
	require.NoError(t, peer.Send(wireMessage{Request: &wireRequest{Instance: "peer"}}))
	answer := receiveUntil(t, peer, func(m wireMessage) bool { return m.View != nil })
	require.NotNil(t, answer.View.Address)
	return answer.View
}

func TestCanceledAcquireIsRemoved(t *testing.T) {
	f := newFixture()
	planner := f.followPlanner(t, fullView(4))
	go drain(planner)
	_, _, err := f.acquire("a1", 20*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	f.waitForStatus(t, "no request waits", func(status coordinator.Status) bool { return status.Waiting == 0 })
	require.NoError(t, planner.Send(wireMessage{View: fullView(4, "a1")}))
	time.Sleep(30 * time.Millisecond)
	assert.Zero(t, f.instance.Status().InFlight)
}
