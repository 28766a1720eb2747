// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// incarnation returns the description of endpoint e as of its start with the given number.
func incarnation(number int, state deployment.EndpointState) deployment.Endpoint {
	started := endpoint("e", state)
	started.Born = start.Add(time.Duration(number) * time.Second)
	return started
}

// TestRestartedEndpointGetsNewStatus: requests in flight, refusals, outcomes and held adapters belong to the former process. They must
// neither keep requests from the new process nor send it requests for adapters that it no longer holds.
func TestRestartedEndpointGetsNewStatus(t *testing.T) {
	d := directory.New()
	d.Put(incarnation(1, deployment.Ready), 1)
	request := &deployment.Request{Adapter: adapter, PromptTokens: 1000, Route: &deployment.Route{}}
	for range 3 {
		d.Begin(start, "e", request)
		d.End(start, "e", adapter, directory.Broken)
	}
	d.Begin(start, "e", request)
	d.MarkMissing(start, "e", adapter)
	d.UpdateHeld(start)
	require.True(t, d.Endpoint("e").Health.Ejected(start))

	empty := incarnation(2, deployment.Ready)
	empty.Adapters = nil
	assert.True(t, d.Put(empty, 2))
	status := d.Endpoint("e")
	assert.Zero(t, status.Load())
	assert.Zero(t, status.Unread())
	assert.Empty(t, status.OwnByAdapter)
	assert.Empty(t, status.Held)
	assert.False(t, status.Holds(start, adapter, 0))
	assert.False(t, status.Health.Ejected(start))
	assert.Len(t, d.Service("service"), 1)

	status.Offered = map[deployment.Adapter]int64{adapter: 2}
	assert.True(t, status.Holds(start, adapter, 0), "the missing adapter was recorded for the former process")
}

func TestLateDescriptionOfFormerIncarnationIsIgnored(t *testing.T) {
	d := directory.New()
	d.Put(incarnation(2, deployment.Ready), 5)
	assert.False(t, d.Put(incarnation(1, deployment.Draining), 4))
	assert.Equal(t, deployment.Ready, d.Endpoint("e").State)
	assert.Equal(t, incarnation(2, deployment.Ready).Born, d.Endpoint("e").Born)
}

// TestDrainingIsFinalForIncarnation: a draining incarnation takes no work again, even when a later description lists it as ready. The next
// incarnation does.
func TestDrainingIsFinalForIncarnation(t *testing.T) {
	d := directory.New()
	d.Put(incarnation(1, deployment.Draining), 1)
	d.Put(incarnation(1, deployment.Ready), 2)
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
	d.Remove("e", 3)
	d.Put(incarnation(1, deployment.Ready), 4)
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
	d.Put(incarnation(2, deployment.Ready), 5)
	assert.Equal(t, deployment.Ready, d.Endpoint("e").State)
}

// TestDescriptionWithoutStartTimeKeepsIncarnation: a planner of the previous version does not forward the start time.
func TestDescriptionWithoutStartTimeKeepsIncarnation(t *testing.T) {
	d := directory.New()
	d.Put(incarnation(1, deployment.Ready), 1)
	d.Begin(start, "e", &deployment.Request{Adapter: adapter})
	d.Put(endpoint("e", deployment.Ready), 2)
	assert.Equal(t, 1, d.Endpoint("e").OwnRequests)
	assert.Equal(t, incarnation(1, deployment.Ready).Born, d.Endpoint("e").Born)
	d.Put(incarnation(1, deployment.Ready), 3)
	assert.Equal(t, 1, d.Endpoint("e").OwnRequests)
}

// TestRereadDescriptionKeepsNewerCopies: the store's description lists copies late, so that one that was already applied must not replace
// the planner's changes since.
func TestRereadDescriptionKeepsNewerCopies(t *testing.T) {
	two := deployment.Adapter{Model: "base", Name: "a2"}
	d := directory.New()
	described := endpoint("e", deployment.Ready)
	d.Put(described, 5)
	d.SetCopy("e", two, 7)
	d.SetCopy("e", adapter, 0)
	d.SetCopy("gone", adapter, 1)
	assert.Equal(t, map[deployment.Adapter]int64{two: 7}, d.Endpoint("e").Offered)
	d.Put(described, 5)
	assert.Equal(t, map[deployment.Adapter]int64{two: 7}, d.Endpoint("e").Offered)
	d.Put(described, 6)
	assert.Equal(t, described.Adapters, d.Endpoint("e").Offered, "a newer description applies")
	assert.Equal(t, map[deployment.Adapter]int64{adapter: 2}, described.Adapters, "the description itself is unchanged")
}

func TestMeanInFlightTimeByService(t *testing.T) {
	d := directory.New()
	assert.Equal(t, time.Second, d.MeanInFlightTime("s"))
	d.RecordInFlightTime("s", 4*time.Second, directory.Succeeded)
	assert.Equal(t, 4*time.Second, d.MeanInFlightTime("s"))
	for range 200 {
		d.RecordInFlightTime("s", 2*time.Second, directory.Succeeded)
	}
	assert.InDelta(t, 2, d.MeanInFlightTime("s").Seconds(), 0.01)
	assert.Equal(t, time.Second, d.MeanInFlightTime("other"))
}

// TestMeanInFlightTimeLeavesOutRequestsNotTaken guards against requests that were rejected at once and make the others seem to end sooner.
func TestMeanInFlightTimeLeavesOutRequestsNotTaken(t *testing.T) {
	d := directory.New()
	for _, outcome := range []directory.Outcome{directory.Refused, directory.Unreachable} {
		d.RecordInFlightTime("s", time.Millisecond, outcome)
	}
	assert.Equal(t, time.Second, d.MeanInFlightTime("s"), "nothing is known yet")
	d.RecordInFlightTime("s", 4*time.Second, directory.Succeeded)
	for range 20 {
		d.RecordInFlightTime("s", time.Millisecond, directory.Refused)
		d.RecordInFlightTime("s", time.Millisecond, directory.Unreachable)
	}
	assert.Equal(t, 4*time.Second, d.MeanInFlightTime("s"))
	d.RecordInFlightTime("s", 2*time.Second, directory.Errored)
	assert.Less(t, d.MeanInFlightTime("s"), 4*time.Second, "an error takes a place until it is answered")
}

// TestSoftwareIsKeptWithinIncarnation: a planner of an earlier version describes an endpoint without its software, which is the same for the
// whole life of a process and may differ in the next one.
func TestSoftwareIsKeptWithinIncarnation(t *testing.T) {
	d := directory.New()
	told := incarnation(1, deployment.Ready)
	told.Software = "v1"
	d.Put(told, 1)
	d.Put(incarnation(1, deployment.Ready), 2)
	assert.Equal(t, "v1", d.Endpoint("e").Software)
	d.LearnSoftware("e", "v2")
	assert.Equal(t, "v1", d.Endpoint("e").Software, "it is known already")

	d.Put(incarnation(2, deployment.Ready), 3)
	assert.Empty(t, d.Endpoint("e").Software)
	d.LearnSoftware("e", "v2")
	assert.Equal(t, "v2", d.Endpoint("e").Software)
	d.LearnSoftware("unknown", "v2")
	assert.Nil(t, d.Endpoint("unknown"))
}
