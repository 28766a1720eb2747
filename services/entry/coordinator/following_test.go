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

// follow starts the instance beside a planner that the test plays, and waits until it goes by the planner's first view.
func (s *site) follow(t *testing.T, first *wireView) *peer {
	t.Helper()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	require.NoError(t, planner.Send(wireMessage{View: first}))
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Term == first.Term })
	return planner
}

func TestAFollowerReportsWhatItAsksForAndServesWhatTheViewOffers(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	first := receive(t, planner, func(m wireMessage) bool { return m.Report != nil })
	assert.Equal(t, selfName, first.Report.Instance)
	require.NoError(t, planner.Send(wireMessage{View: fullView(4, "a1")}))
	go drain(planner)
	assignment, _, err := s.acquire("a1", waitLimit)
	require.NoError(t, err)
	assert.EqualValues(t, "e1", assignment.Endpoint.ID)
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Planner == "peer" && status.Term == 4 })

	require.NoError(t, planner.Send(wireMessage{View: fullView(3)}), "a view of an earlier term")
	time.Sleep(30 * time.Millisecond)
	assert.EqualValues(t, 4, s.control.Status().Term)
	_, _, err = s.acquire("a1", waitLimit)
	assert.NoError(t, err, "what the former planner says does not count")
	require.NoError(t, planner.Send(wireMessage{View: fullView(4, "a1")}), "the same view again")
	_, _, err = s.acquire("a1", waitLimit)
	assert.NoError(t, err)
}

func TestAFollowerRefusesAtOnceWhatIsExpectedTooLate(t *testing.T) {
	s := newSite()
	told := fullView(4)
	told.Backlogs = map[string]time.Duration{service: 4 * time.Second}
	go drain(s.follow(t, told))
	began := time.Now()
	_, _, err := s.acquire("a9", waitLimit)
	var refusal *coordinator.Refusal
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, admission.AdapterNotLoaded, refusal.Reason)
	assert.Less(t, time.Since(began), 200*time.Millisecond)
	assert.Greater(t, refusal.RetryAfter, 3500*time.Millisecond)
	assert.Less(t, refusal.RetryAfter, 4300*time.Millisecond)
}

func TestASilentPlannerIsReplacedOnceItsHeartbeatHasEnded(t *testing.T) {
	s := newSite()
	planner := s.follow(t, fullView(4, "a1"))
	s.pipes.refuse = true
	planner.Close()
	time.Sleep(1500 * time.Millisecond)
	assert.False(t, s.control.Status().Planning, "the holder's heartbeat is still in the store")
	s.store.mutex.Lock()
	delete(s.store.items, heartbeatKey)
	s.store.mutex.Unlock()
	s.waitForStatus(t, "takes over", func(status coordinator.Status) bool { return status.Planning })
	record, _ := s.store.record(t)
	assert.EqualValues(t, 5, record.Term)
	assert.Equal(t, "peer", record.Former)
	assert.False(t, record.Ordering, "the former holder's time is waited for")
}

func TestAResignedPlannerIsReplacedWithoutItsTime(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	told := fullView(4, "a1")
	told.Resigned = true
	require.NoError(t, planner.Send(wireMessage{View: told}))
	go drain(planner)
	began := time.Now()
	s.begins(t, 5)
	assert.Less(t, time.Since(began), time.Second)
}

func TestAnInstanceWithoutStoreLearnsFromASeed(t *testing.T) {
	s := newSite()
	s.store.setDown(true)
	s.start(t, selfAddress, peerAddress)
	seed := s.link(t)
	asked := receive(t, seed, func(m wireMessage) bool { return m.Request != nil })
	assert.Equal(t, selfName, asked.Request.Instance)
	told := fullView(6, "a1")
	told.Address = &peerAddress
	told.Items = []store.Item{{Key: configurationKey, Value: []byte("3"), Revision: 50}}
	require.NoError(t, seed.Send(wireMessage{View: told}))
	require.Eventually(t, s.control.Ready, waitLimit, lookPace)
	_, _, err := s.acquire("a1", waitLimit)
	assert.NoError(t, err)
	planner := s.link(t)
	followed, err := planner.Receive(waitLimit, time.Now)
	require.NoError(t, err)
	assert.NotNil(t, followed.Report, "it follows the planner that the seed named")
}

func TestAPeerThatAsksLearnsWhoPlans(t *testing.T) {
	t.Run("the instance itself", func(t *testing.T) {
		s := newSite()
		s.start(t)
		s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && s.control.Ready() })
		assert.Equal(t, selfAddress, *s.ask(t).Address)
	})
	t.Run("another one", func(t *testing.T) {
		s := newSite()
		s.planElsewhere(t)
		s.start(t)
		s.link(t)
		require.Eventually(t, s.control.Ready, waitLimit, lookPace)
		answer := s.ask(t)
		assert.Equal(t, peerAddress, *answer.Address)
		assert.EqualValues(t, 4, answer.Term)
	})
}

// ask gives the answer to a request for the configuration and for who plans; it names an address.
func (s *site) ask(t *testing.T) *wireView {
	t.Helper()
	peer := s.join(t)
	require.NoError(t, peer.Send(wireMessage{Request: &wireRequest{Instance: "peer"}}))
	answer := receive(t, peer, func(m wireMessage) bool { return m.View != nil })
	require.NotNil(t, answer.View.Address)
	return answer.View
}

func TestACallerThatLeavesTakesNoPlace(t *testing.T) {
	s := newSite()
	planner := s.follow(t, fullView(4))
	go drain(planner)
	_, _, err := s.acquire("a1", 20*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	s.waitForStatus(t, "nobody waits", func(status coordinator.Status) bool { return status.Waiting == 0 })
	require.NoError(t, planner.Send(wireMessage{View: fullView(4, "a1")}))
	time.Sleep(30 * time.Millisecond)
	assert.Zero(t, s.control.Status().InFlight)
}
