// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// keptShare is the part of the limit after which what has not begun is taken back.
const keptShare = versionLimit - versionLimit/5

// sent is a request that was assigned to the site's endpoint, where it waits.
type sent struct {
	*deployment.Request
	assignment coordinator.Assignment
	// ended is closed once it is taken back, at endedAt.
	ended   chan struct{}
	endedAt time.Time
}

// sendSoon assigns a request as soon as the adapter is loaded.
func (s *site) sendSoon(t *testing.T) *sent {
	t.Helper()
	one := &sent{ended: make(chan struct{})}
	require.Eventually(t, func() bool {
		var err error
		one.assignment, one.Request, err = s.acquire("a1", time.Second)
		return err == nil
	}, waitLimit, lookPace, "the adapter is loaded")
	one.assignment.Recall.Arm(func() {
		one.endedAt = time.Now()
		close(one.ended)
	})
	return one
}

// checkEnd checks that a request is taken back once a time has passed since a name, not before but for the age that the name counts as: a
// watch that it ends may have been sent right before it.
func checkEnd(t *testing.T, one *sent, since time.Time, span time.Duration) {
	t.Helper()
	select {
	case <-one.ended:
		assert.GreaterOrEqual(t, one.endedAt.Sub(since), span-follow.ShortWatch)
	case <-time.After(waitLimit):
		assert.Fail(t, "it is not taken back")
	}
}

func (s *site) name(version string) time.Time {
	named := time.Now()
	s.store.put(versionPrefix+"a1", version)
	return named
}

func TestWhatWaitsWhenAVersionIsNamedIsTakenBackBeforeTheLimit(t *testing.T) {
	s := newSite()
	s.start(t)
	one := s.sendSoon(t)
	running := s.sendSoon(t)
	ended := s.sendSoon(t)
	named := s.name("2")
	s.control.Running(running.Request, running.assignment)
	s.control.Finish(ended.Request, ended.assignment, directory.Neutral, false)
	checkEnd(t, one, named, keptShare)
	assert.EqualValues(t, 1, s.takenBack.Load(), "neither the one that runs nor the one that ended")
	assert.False(t, running.assignment.Recall.Fired())
	assert.False(t, ended.assignment.Recall.Fired())
}

// TestWhatWaitsOnADemandedVersionIsTakenBackToo: the endpoint checks the version, and goes on holding it when a newer one is named.
func TestWhatWaitsOnADemandedVersionIsTakenBackToo(t *testing.T) {
	s := newSite()
	s.name("1")
	s.start(t)
	one := s.sendSoon(t)
	assert.EqualValues(t, 1, one.assignment.Version)
	checkEnd(t, one, s.name("2"), keptShare)
}

// TestTheFirstNewerNameBoundsARequest: later names put off nothing, also where the request was sent after the first.
func TestTheFirstNewerNameBoundsARequest(t *testing.T) {
	s := newSite()
	s.start(t)
	before := s.sendSoon(t)
	s.control.Running(before.Request, before.assignment)
	s.control.Finish(before.Request, before.assignment, directory.Succeeded, false)
	named := s.name("2")
	time.Sleep(versionLimit / 10)
	after := s.sendSoon(t)
	time.Sleep(versionLimit / 2)
	again := s.name("3")
	checkEnd(t, after, named, keptShare)
	assert.Less(t, after.endedAt.Sub(again), keptShare, "the second name puts nothing off")
}

func TestAnswersThatComeWholeAreNotTakenBack(t *testing.T) {
	s := newSite()
	s.start(t)
	s.sendSoon(t)
	whole := &deployment.Route{Name: "whole", Kind: deployment.Safe, TargetLatency: time.Second}
	now := time.Now()
	for _, request := range []*deployment.Request{
		{Route: whole, Service: service, Adapter: adapter("a1"), Arrived: now, Deadline: now.Add(waitLimit)},
		{Route: route, Service: service, Adapter: adapter(""), Arrived: now, Deadline: now.Add(waitLimit)},
	} {
		assignment, err := s.control.Acquire(context.Background(), request, nil)
		require.NoError(t, err)
		assert.Nil(t, assignment.Recall)
	}
}
