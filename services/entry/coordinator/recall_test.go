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

// recallAfter is the time after which a request that has not begun is recalled: four fifths of the version limit.
const recallAfter = versionLimit - versionLimit/5

// assignedRequest is a request that is assigned to the fixture's endpoint and waits there.
type assignedRequest struct {
	*deployment.Request
	assignment coordinator.Assignment
	// recalled is closed when the request is recalled, at recalledAt.
	recalled   chan struct{}
	recalledAt time.Time
}

// assignRequest assigns a request as soon as the adapter is loaded.
func (f *fixture) assignRequest(t *testing.T) *assignedRequest {
	t.Helper()
	request := &assignedRequest{recalled: make(chan struct{})}
	require.Eventually(t, func() bool {
		var err error
		request.assignment, request.Request, err = f.acquire("a1", time.Second)
		return err == nil
	}, waitLimit, pollInterval, "the adapter is loaded")
	request.assignment.Recall.Arm(func() {
		request.recalledAt = time.Now()
		close(request.recalled)
	})
	return request
}

// requireRecall checks that a request is recalled when the given time has passed since a version was named. It may be
// earlier by the age that is assumed for the version, because the watch that returned it may have been sent right before.
func requireRecall(t *testing.T, request *assignedRequest, since time.Time, span time.Duration) {
	t.Helper()
	select {
	case <-request.recalled:
		assert.GreaterOrEqual(t, request.recalledAt.Sub(since), span-follow.ShortWatch)
	case <-time.After(waitLimit):
		assert.Fail(t, "the request was not recalled")
	}
}

func (f *fixture) nameVersion(version string) time.Time {
	namedAt := time.Now()
	f.store.put(versionPrefix+"a1", version)
	return namedAt
}

func TestUnstartedRequestIsRecalledBeforeVersionLimit(t *testing.T) {
	f := newFixture()
	f.start(t)
	waiting := f.assignRequest(t)
	running := f.assignRequest(t)
	ended := f.assignRequest(t)
	namedAt := f.nameVersion("2")
	f.instance.MarkRunning(running.Request, running.assignment)
	f.instance.Finish(ended.Request, ended.assignment, directory.Neutral, false)
	requireRecall(t, waiting, namedAt, recallAfter)
	assert.EqualValues(t, 1, f.recalled.Load(), "the running and the ended request are not recalled")
	assert.False(t, running.assignment.Recall.Fired())
	assert.False(t, ended.assignment.Recall.Fired())
}

// TestUnstartedRequestWithRequiredVersionIsRecalled covers a request for which the endpoint checks the version. The endpoint
// still holds that version after a newer one is named.
func TestUnstartedRequestWithRequiredVersionIsRecalled(t *testing.T) {
	f := newFixture()
	f.nameVersion("1")
	f.start(t)
	request := f.assignRequest(t)
	assert.EqualValues(t, 1, request.assignment.Version)
	requireRecall(t, request, f.nameVersion("2"), recallAfter)
}

// TestFirstNewerVersionSetsRecallTime checks that later versions do not postpone the recall, even if the request was sent
// after the first newer one was named.
func TestFirstNewerVersionSetsRecallTime(t *testing.T) {
	f := newFixture()
	f.start(t)
	before := f.assignRequest(t)
	f.instance.MarkRunning(before.Request, before.assignment)
	f.instance.Finish(before.Request, before.assignment, directory.Succeeded, false)
	namedAt := f.nameVersion("2")
	time.Sleep(versionLimit / 10)
	after := f.assignRequest(t)
	time.Sleep(versionLimit / 2)
	secondNamedAt := f.nameVersion("3")
	requireRecall(t, after, namedAt, recallAfter)
	assert.Less(t, after.recalledAt.Sub(secondNamedAt), recallAfter, "the second named version does not postpone the recall")
}

func TestNonStreamingRequestsAreNotRecalled(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.assignRequest(t)
	whole := &deployment.Route{Name: "whole", Kind: deployment.Safe, TargetLatency: time.Second}
	now := time.Now()
	for _, request := range []*deployment.Request{
		{Route: whole, Service: service, Adapter: adapter("a1"), Arrived: now, Deadline: now.Add(waitLimit)},
		{Route: route, Service: service, Adapter: adapter(""), Arrived: now, Deadline: now.Add(waitLimit)},
	} {
		assignment, err := f.instance.Acquire(context.Background(), request, nil)
		require.NoError(t, err)
		assert.Nil(t, assignment.Recall)
	}
}
