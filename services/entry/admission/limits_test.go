// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/admission"
)

const (
	// maxStreamWait is how long a stream with the targets of these tests waits: 0.7 of four targets of 0.8 s.
	maxStreamWait = 2240 * time.Millisecond
	longDeadline  = 15 * time.Second
)

// TestWaitLimits has a case for each limit of the wait, which it checks a nanosecond before the limit and at it.
func TestWaitLimits(t *testing.T) {
	for name, test := range map[string]struct {
		situation admission.Situation
		deadline  time.Duration
		limit     time.Duration
		reason    admission.Reason
	}{
		"stream, share of the silence time-out":        {admission.Situation{Route: stream}, longDeadline, maxStreamWait, admission.AdapterNotLoaded},
		"stream, half of the deadline":                 {admission.Situation{Route: stream}, 4 * time.Second, 2 * time.Second, admission.AdapterNotLoaded},
		"stream, endpoints saturated":                  {admission.Situation{Route: stream, Saturated: true}, longDeadline, maxStreamWait, admission.Saturated},
		"stream, no endpoint, quarter of the target":   {admission.Situation{Route: stream, NoEndpoint: true}, longDeadline, 200 * time.Millisecond, admission.NoEndpoint},
		"stream, no endpoint, quarter of the deadline": {admission.Situation{Route: stream, NoEndpoint: true}, 400 * time.Millisecond, 100 * time.Millisecond, admission.NoEndpoint},
		"plain":                          {admission.Situation{Route: plain, NoEndpoint: true}, longDeadline, 100 * time.Millisecond, admission.NoEndpoint},
		"plain, quarter of the deadline": {admission.Situation{Route: plain, NoEndpoint: true}, 200 * time.Millisecond, 50 * time.Millisecond, admission.NoEndpoint},
		"no endpoint takes precedence over saturated":  {admission.Situation{Route: plain, NoEndpoint: true, Saturated: true}, longDeadline, 100 * time.Millisecond, admission.NoEndpoint},
		"saturated takes precedence over not resident": {admission.Situation{Route: plain, Saturated: true}, longDeadline, 100 * time.Millisecond, admission.Saturated},
	} {
		t.Run(name, func(t *testing.T) {
			situation := test.situation
			situation.Arrived, situation.Deadline = start, start.Add(test.deadline)
			assert.Equal(t, admission.Decision{Wait: true}, admission.Decide(start, situation), "on arrival")
			assert.Equal(t, admission.Decision{Wait: true}, admission.Decide(start.Add(test.limit-1), situation), "just below")
			for _, now := range []time.Time{start.Add(test.limit), start.Add(test.limit + 1), start.Add(time.Hour)} {
				decision := admission.Decide(now, situation)
				assert.False(t, decision.Wait, "at the limit and above")
				assert.Equal(t, test.reason, decision.Reason)
				assert.Positive(t, decision.RetryAfter)
			}
		})
	}
}

func TestRequestPastDeadlineDoesNotWait(t *testing.T) {
	for _, deadline := range []time.Time{start, start.Add(-time.Second), {}} {
		assert.False(t, admission.Decide(start, admission.Situation{Route: stream, Arrived: start, Deadline: deadline}).Wait)
	}
}

// TestEarlyRefusalLimits checks that, from 80 ms after its arrival, a request is refused whose adapter is expected later than 0.15 s
// before the end of its wait.
func TestEarlyRefusalLimits(t *testing.T) {
	const (
		from, later = 80 * time.Millisecond, 200 * time.Millisecond
		inTime      = maxStreamWait - 150*time.Millisecond
		late        = inTime + 1
	)
	for name, test := range map[string]struct {
		waited, expected time.Duration
		wait             bool
	}{
		"forecast may be under way":                    {from - 1, late, true},
		"forecast must have arrived":                   {from, late, false},
		"forecast must have arrived, expected in time": {from, inTime, true},
		"later":                                 {later, late, false},
		"later, expected in time":               {later, inTime, true},
		"expected much later":                   {from, time.Hour, false},
		"expected earlier, outdated forecast":   {later, -time.Second, true},
		"expected by now":                       {later, later, true},
		"expected late, at the end of the wait": {maxStreamWait - 1, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			situation := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(longDeadline), AdapterExpectedAt: start.Add(test.expected)}
			decision := admission.Decide(start.Add(test.waited), situation)
			assert.Equal(t, test.wait, decision.Wait)
			if !test.wait {
				assert.Equal(t, admission.AdapterNotLoaded, decision.Reason)
				assert.Equal(t, test.expected-test.waited+150*time.Millisecond, decision.RetryAfter)
			}
		})
	}
}

func TestEarlyRefusalNeedsStreamWithForecast(t *testing.T) {
	now := start.Add(20 * time.Millisecond)
	late := start.Add(time.Hour)
	for name, situation := range map[string]admission.Situation{
		"plain":        {Route: plain, AdapterExpectedAt: late},
		"unknown time": {Route: stream},
		"no endpoint":  {Route: stream, AdapterExpectedAt: late, NoEndpoint: true},
		"saturated":    {Route: stream, AdapterExpectedAt: late, Saturated: true},
	} {
		t.Run(name, func(t *testing.T) {
			situation.Arrived, situation.Deadline = start, start.Add(longDeadline)
			assert.True(t, admission.Decide(now, situation).Wait)
			if situation.Route == stream && !situation.NoEndpoint {
				assert.True(t, admission.Decide(start.Add(150*time.Millisecond), situation).Wait)
			}
		})
	}
}

func TestRetryAfterLimits(t *testing.T) {
	now := start.Add(maxStreamWait)
	for name, test := range map[string]struct {
		expected   time.Time
		retryAfter time.Duration
	}{
		"unknown":                    {time.Time{}, 400 * time.Millisecond},
		"long ago":                   {start, 400 * time.Millisecond},
		"now":                        {now, 400 * time.Millisecond},
		"at the minimum":             {now.Add(250 * time.Millisecond), 400 * time.Millisecond},
		"slightly above the minimum": {now.Add(250*time.Millisecond + 1), 400*time.Millisecond + 1},
		"later":                      {now.Add(3 * time.Second), 3150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			decision := admission.Decide(now, admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(longDeadline), AdapterExpectedAt: test.expected})
			assert.Equal(t, test.retryAfter, decision.RetryAfter)
		})
	}
	saturated := admission.Situation{Route: stream, Arrived: start, Deadline: start.Add(longDeadline), Saturated: true}
	assert.Equal(t, 1500*time.Millisecond, admission.Decide(now, saturated).RetryAfter)
}
