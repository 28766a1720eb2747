// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// TestRequestsForOneSoftwareAreReportedApart checks that requests that only one software may run do not appear as demand that any copy satisfies,
// neither while they wait nor when their callers are expected back.
func TestRequestsForOneSoftwareAreReportedApart(t *testing.T) {
	counter := report.NewCounter()
	collection := counter.Collect(start, 2)
	for _, age := range []time.Duration{300 * time.Millisecond, 100 * time.Millisecond} {
		collection.AddWaiting(adapterKey, waitingSince(start.Add(-age)), "v1")
		collection.AddWaiting(baseModelKey, waitingSince(start.Add(-age)), "v1")
	}
	collection.AddWaiting(adapterKey, waitingSince(start), "")
	assert.Equal(t, []wire.PinnedDemand{
		{Service: "chat", Model: "base", Name: "a1", Software: "v1", Waiting: 2, InTime: 700 * time.Millisecond},
	}, collection.Pinned())
	assert.Equal(t, []wire.Demand{{Service: "chat", Model: "base", Name: "a1", Waiting: 1, InTime: 800 * time.Millisecond}}, collection.List())

	counter.ExpectRetry(adapterKey, "v2", start.Add(time.Second), route.TargetLatency)
	collection = counter.Collect(start.Add(time.Second), 0)
	assert.Empty(t, collection.List())
	assert.Equal(t, []wire.PinnedDemand{
		{Service: "chat", Model: "base", Name: "a1", Software: "v2", Waiting: 1, InTime: 800 * time.Millisecond},
	}, collection.Pinned())
	assert.Empty(t, counter.Collect(start.Add(time.Minute), 0).Pinned(), "the caller should have come back by now")
}

// TestStreamThatGoesOnIsInTimeUntilItsDeadline checks that a stream that goes on is in time beyond its route's target, which is for the first event,
// whether other software serves beside its own or not.
func TestStreamThatGoesOnIsInTimeUntilItsDeadline(t *testing.T) {
	request := waitingSince(start.Add(-time.Second))
	request.Software, request.Deadline = "v1", start.Add(4*time.Second)
	collection := report.NewCounter().Collect(start, 2)
	collection.AddWaiting(adapterKey, request, "v1")
	collection.AddWaiting(otherKey, request, "")
	assert.Equal(t, []wire.PinnedDemand{{Service: "chat", Model: "base", Name: "a1", Software: "v1", Waiting: 1, InTime: 4 * time.Second}}, collection.Pinned())
	assert.Equal(t, []wire.Demand{{Service: "chat", Model: "base", Name: "a2", Waiting: 1, InTime: 4 * time.Second}}, collection.List())
}
