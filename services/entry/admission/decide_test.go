// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
)

var (
	start  = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	stream = &deployment.Route{Kind: deployment.Streaming, TargetLatency: 800 * time.Millisecond, TargetPause: 250 * time.Millisecond}
	plain  = &deployment.Route{Kind: deployment.Unsafe, TargetLatency: 150 * time.Millisecond}
)

func TestStreamWaitIsBelowSilenceTimeout(t *testing.T) {
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second)}
	assert.True(t, admission.Decide(start.Add(time.Second), situation).Wait)
	late := admission.Decide(start.Add(admission.SilenceTimeout(stream)), situation)
	assert.False(t, late.Wait)
	assert.Equal(t, admission.AdapterNotLoaded, late.Reason)
	assert.Positive(t, late.RetryAfter, "a refused caller must get a time to retry")
}

func TestRequestWithoutEndpointIsRefusedSoon(t *testing.T) {
	for _, route := range []*deployment.Route{stream, plain} {
		situation := admission.Situation{Route: route, Arrived: start, Deadline: start.Add(15 * time.Second), NoEndpoint: true}
		decision := admission.Decide(start.Add(route.TargetLatency), situation)
		assert.False(t, decision.Wait)
		assert.Equal(t, admission.NoEndpoint, decision.Reason)
		assert.Positive(t, decision.RetryAfter)
	}
}

func TestRetryAfterFollowsExpectedAdapter(t *testing.T) {
	now := start.Add(5 * time.Second)
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second), AdapterExpectedAt: now.Add(2 * time.Second)}
	decision := admission.Decide(now, situation)
	assert.Greater(t, decision.RetryAfter, 2*time.Second)
	assert.Less(t, decision.RetryAfter, 3*time.Second)
}

// TestRequestIsRefusedEarlyIfAdapterComesTooLate guards against requests under high load that wait two seconds for an adapter which
// is known to come too late, and are refused only then.
func TestRequestIsRefusedEarlyIfAdapterComesTooLate(t *testing.T) {
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second)}
	early := start.Add(150 * time.Millisecond)

	situation.AdapterExpectedAt = start.Add(500 * time.Millisecond)
	assert.True(t, admission.Decide(early, situation).Wait, "the adapter is expected in time")

	situation.AdapterExpectedAt = start.Add(1500 * time.Millisecond)
	assert.True(t, admission.Decide(early, situation).Wait, "the adapter is late, but expected while the caller waits")

	situation.AdapterExpectedAt = start.Add(2500 * time.Millisecond)
	decision := admission.Decide(early, situation)
	assert.False(t, decision.Wait)
	assert.Equal(t, admission.AdapterNotLoaded, decision.Reason)
	assert.Greater(t, decision.RetryAfter, 2350*time.Millisecond, "the caller must retry when the adapter is resident")
	assert.Less(t, decision.RetryAfter, 2700*time.Millisecond)

	assert.True(t, admission.Decide(start.Add(50*time.Millisecond), situation).Wait, "the planner may not have received the report yet")
	assert.False(t, admission.Decide(start.Add(time.Second), situation).Wait, "a request whose adapter comes too late must not wait longer")
	situation.NoActivePlanner = true
	assert.False(t, admission.Decide(start, situation).Wait, "without a planner no forecast can be under way")
}

// TestRequestIsNotRefusedEarlyIfAdapterMayComeSooner guards against streams that are refused a moment before their adapter is resident.
func TestRequestIsNotRefusedEarlyIfAdapterMayComeSooner(t *testing.T) {
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second)}
	situation.AdapterExpectedAt, situation.AdapterMayComeSooner = start.Add(10*time.Second), true
	assert.True(t, admission.Decide(start.Add(150*time.Millisecond), situation).Wait)
	assert.True(t, admission.Decide(start.Add(2*time.Second), situation).Wait, "it waits as long as any request")

	late := admission.Decide(start.Add(admission.SilenceTimeout(stream)), situation)
	assert.Equal(t, admission.AdapterNotLoaded, late.Reason)
	assert.Greater(t, late.RetryAfter, 6*time.Second, "the caller must retry when the adapter is expected")
}

func TestSilenceTimeoutIsLongestOfThreeLimits(t *testing.T) {
	assert.Equal(t, 3200*time.Millisecond, admission.SilenceTimeout(stream))
	assert.Equal(t, 2*time.Second, admission.SilenceTimeout(plain))
	slow := &deployment.Route{TargetPause: time.Second}
	assert.Equal(t, 8*time.Second, admission.SilenceTimeout(slow))
}
