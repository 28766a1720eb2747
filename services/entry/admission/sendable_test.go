// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
