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

func TestRequestIsRefusedIfSendableTooLate(t *testing.T) {
	for reason, situation := range map[admission.Reason]admission.Situation{
		admission.Limited: {Route: plain, Arrived: start, Deadline: start.Add(time.Second), Limited: true},
		admission.Resting: {Route: plain, Arrived: start, Deadline: start.Add(time.Second), Resting: true},
	} {
		assert.True(t, admission.Decide(start, situation).Wait, "another endpoint may become able to run it")
		situation.SendableAt = start.Add(100 * time.Millisecond)
		assert.True(t, admission.Decide(start, situation).Wait, "just in time")
		situation.SendableAt = start.Add(100*time.Millisecond + 1)
		decision := admission.Decide(start, situation)
		assert.False(t, decision.Wait)
		assert.Equal(t, reason, decision.Reason)
	}
}

func TestRetryAfterIsJittered(t *testing.T) {
	situation := admission.Situation{
		Route: plain, Arrived: start, Deadline: start.Add(time.Second), Resting: true, SendableAt: start.Add(3 * time.Second),
	}
	assert.Equal(t, 3*time.Second, admission.Decide(start, situation).RetryAfter, "not before the pause ends")
	situation.Jitter = 0.5
	assert.Equal(t, 4500*time.Millisecond, admission.Decide(start, situation).RetryAfter)
	situation.SendableAt = start.Add(150 * time.Millisecond)
	assert.Equal(t, 600*time.Millisecond, admission.Decide(start, situation).RetryAfter, "at least the minimum time, with jitter")
}

// TestSuspectedRequestWaitsForDecision: a request may wait for the decision whether it is sent although endpoints ended while they had it, and
// is refused if its caller would have left by then.
func TestSuspectedRequestWaitsForDecision(t *testing.T) {
	for name, test := range map[string]struct {
		route     *deployment.Route
		decidedIn time.Duration
		waits     bool
	}{
		"plain, decided soon":           {plain, 300 * time.Millisecond, true},
		"plain, half of its time":       {plain, 750 * time.Millisecond, true},
		"plain, more than that":         {plain, 751 * time.Millisecond, false},
		"stream, decided soon":          {stream, 300 * time.Millisecond, true},
		"stream, more than its silence": {stream, 3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			deadline := start.Add(1500 * time.Millisecond)
			if test.route == stream {
				deadline = start.Add(15 * time.Second)
			}
			decision := admission.Decide(start, admission.Situation{
				Route: test.route, Arrived: start, Deadline: deadline, Suspected: true, SendableAt: start.Add(test.decidedIn),
			})
			assert.Equal(t, test.waits, decision.Wait)
			if !test.waits {
				assert.Equal(t, admission.Quarantined, decision.Reason)
				assert.Positive(t, decision.RetryAfter)
			}
		})
	}
}
