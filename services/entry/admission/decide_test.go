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

func TestARequestWaitsForItsAdapterOnlyWithinItsCallersSilenceTimeout(t *testing.T) {
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second)}
	assert.True(t, admission.Decide(start.Add(time.Second), situation).Wait)
	late := admission.Decide(start.Add(admission.SilenceTimeout(stream)), situation)
	assert.False(t, late.Wait)
	assert.Equal(t, admission.AdapterNotLoaded, late.Reason)
	assert.Positive(t, late.RetryAfter, "a refused caller learns when to come back")
}

func TestWithoutAnyEndpointTheRefusalComesSoon(t *testing.T) {
	for _, route := range []*deployment.Route{stream, plain} {
		situation := admission.Situation{Route: route, Arrived: start, Deadline: start.Add(15 * time.Second), NoEndpoint: true}
		decision := admission.Decide(start.Add(route.TargetLatency), situation)
		assert.False(t, decision.Wait)
		assert.Equal(t, admission.NoEndpoint, decision.Reason)
		assert.Positive(t, decision.RetryAfter)
	}
}

func TestTheCallerIsToldToComeBackWhenTheAdapterIsExpected(t *testing.T) {
	now := start.Add(5 * time.Second)
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second), Expected: now.Add(2 * time.Second)}
	decision := admission.Decide(now, situation)
	assert.Greater(t, decision.RetryAfter, 2*time.Second)
	assert.Less(t, decision.RetryAfter, 3*time.Second)
}

// TestAHopelessRequestIsRefusedWhileItsCallerCanStillBeServedInTime is about loaded days: requests
// were held for two seconds for an adapter that was known to come too late, and refused then.
func TestAHopelessRequestIsRefusedWhileItsCallerCanStillBeServedInTime(t *testing.T) {
	situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(15 * time.Second)}
	prompt := start.Add(150 * time.Millisecond)

	situation.Expected = start.Add(500 * time.Millisecond)
	assert.True(t, admission.Decide(prompt, situation).Wait, "the adapter comes in time")

	situation.Expected = start.Add(1500 * time.Millisecond)
	assert.True(t, admission.Decide(prompt, situation).Wait, "late, but it comes while the caller waits")

	situation.Expected = start.Add(2500 * time.Millisecond)
	decision := admission.Decide(prompt, situation)
	assert.False(t, decision.Wait)
	assert.Equal(t, admission.AdapterNotLoaded, decision.Reason)
	assert.Greater(t, decision.RetryAfter, 2350*time.Millisecond, "the caller comes back when the adapter is there")
	assert.Less(t, decision.RetryAfter, 2700*time.Millisecond)

	assert.True(t, admission.Decide(start.Add(50*time.Millisecond), situation).Wait, "no report may have reached the planner yet")
	assert.False(t, admission.Decide(start.Add(time.Second), situation).Wait, "what is known to be in vain is not held any longer")
	situation.NobodyOrders = true
	assert.False(t, admission.Decide(start, situation).Wait, "without a planner no forecast can be on its way")
}

func TestTheSilenceTimeoutIsTheLongestOfItsThreeBounds(t *testing.T) {
	assert.Equal(t, 3200*time.Millisecond, admission.SilenceTimeout(stream))
	assert.Equal(t, 2*time.Second, admission.SilenceTimeout(plain))
	slow := &deployment.Route{TargetPause: time.Second}
	assert.Equal(t, 8*time.Second, admission.SilenceTimeout(slow))
}
