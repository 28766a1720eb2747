// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

func TestDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		route, caller, limit time.Duration
	}{
		"no time-out set":                 {0, 0, 10 * time.Minute},
		"only the route":                  {3 * time.Second, 0, 3 * time.Second},
		"only the caller":                 {0, 2 * time.Second, 2 * time.Second},
		"only the caller, and very long":  {0, time.Hour, time.Hour},
		"caller slightly shorter":         {3 * time.Second, 3*time.Second - 1, 3*time.Second - 1},
		"equal time-outs":                 {3 * time.Second, 3 * time.Second, 3 * time.Second},
		"caller slightly longer":          {3 * time.Second, 3*time.Second + 1, 3 * time.Second},
		"negative time-out of the route":  {-1, 0, 10 * time.Minute},
		"negative time-out of the caller": {3 * time.Second, -1, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, now.Add(test.limit), attempt.Deadline(now, &deployment.Route{Timeout: test.route}, test.caller))
		})
	}
}

// TestEndpointWasSilent uses routes whose callers wait for four targets of 0.8 s. A caller that disconnects a little earlier, by its
// own clock, still did so because of the silence; one that disconnects sooner did not, and neither did one whose response is not a
// stream.
func TestEndpointWasSilent(t *testing.T) {
	for name, test := range map[string]struct {
		situation attempt.Situation
		silent    bool
	}{
		"stream, whole silence time-out":      {after(stream, silentFor(3200*time.Millisecond)), true},
		"stream, nine tenths of the time-out": {after(stream, silentFor(2880*time.Millisecond)), true},
		"stream, less than nine tenths":       {after(stream, silentFor(2880*time.Millisecond-1)), false},
		"a resumable stream":                  {after(resumable, silentFor(3200*time.Millisecond)), true},
		"unsafe request without stream":       {after(unsafe, silentFor(time.Minute)), false},
		"safe request without stream":         {after(safe, silentFor(time.Minute)), false},
		"stream that continues":               {after(stream), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.silent, attempt.EndpointWasSilent(test.situation))
		})
	}
	assert.Equal(t, 1600*time.Millisecond, attempt.RetryTimeout(stream))
	assert.Equal(t, 1600*time.Millisecond, attempt.RetryTimeout(resumable))
}

func TestHedgeDelay(t *testing.T) {
	unknownPause := &deployment.Route{Kind: deployment.Streaming, MaxAttempts: 2, TargetLatency: 800 * time.Millisecond, Resumable: true}
	const least = 50 * time.Millisecond
	for name, test := range map[string]struct {
		situation attempt.Situation
		after     time.Duration
		searches  bool
	}{
		"a stream":                                         {after(stream, headForwarded, eventForwarded), 0, false},
		"a stream without a head":                          {after(stream), 0, false},
		"an unsafe request":                                {after(unsafe), 0, false},
		"a resumable stream":                               {after(resumable, headForwarded, eventForwarded), time.Second, true},
		"a resumable stream without a head":                {after(resumable), 3200 * time.Millisecond, true},
		"no attempt left":                                  {after(resumable, headForwarded, eventForwarded, sent(2)), 0, false},
		"too many attempts":                                {after(resumable, headForwarded, eventForwarded, sent(3)), 0, false},
		"without a pause target":                           {after(unknownPause, headForwarded, eventForwarded), 0, false},
		"a body that is not buffered":                      {after(resumable, headForwarded, eventForwarded, bodyNotBuffered), 0, false},
		"events without ids":                               {after(resumable, headForwarded), 0, false},
		"deadline slightly later":                          {after(resumable, headForwarded, eventForwarded, withDeadline(now.Add(time.Second+1))), time.Second, true},
		"deadline reached":                                 {after(resumable, headForwarded, eventForwarded, withDeadline(now.Add(time.Second))), 0, false},
		"a safe request":                                   {after(safe), 5 * time.Second, true},
		"a safe request, no attempt left":                  {after(safe, sent(2)), 0, false},
		"a safe request, too many attempts":                {after(safe, sent(3)), 0, false},
		"a safe request, minimum delay left":               {after(safe, withDeadline(now.Add(2*least))), least, true},
		"a safe request, less than the minimum delay left": {after(safe, withDeadline(now.Add(2*least-1))), 0, false},
		"a safe request, at the deadline":                  {after(safe, withDeadline(now)), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			after, searches := attempt.HedgeDelay(now, test.situation)
			assert.Equal(t, test.searches, searches)
			if searches {
				assert.Equal(t, test.after, after)
			}
		})
	}
}

// TestStreamThatNoOtherEndpointMayContinue checks that such a stream is resumed in place only, and sent to no other endpoint meanwhile.
func TestStreamThatNoOtherEndpointMayContinue(t *testing.T) {
	s := after(resumable, eventForwarded, headForwarded, onlyInPlace)
	assert.True(t, attempt.CanResumeInPlace(s))
	assert.False(t, attempt.CanResumeElsewhere(s))
	_, searches := attempt.HedgeDelay(now, s)
	assert.False(t, searches)
	assert.Equal(t, attempt.RetryWithinBudget, attempt.NextStep(now, attempt.Interrupted, s))
	inPlace(5)(&s)
	assert.Equal(t, attempt.GiveUp, attempt.NextStep(now, attempt.Interrupted, s))
}

func TestCanResumeInPlace(t *testing.T) {
	assert.True(t, attempt.CanResumeInPlace(after(resumable, eventForwarded)))
	assert.True(t, attempt.CanResumeInPlace(after(resumable, eventForwarded, inPlace(1))))
	assert.True(t, attempt.CanResumeInPlace(after(resumable, eventForwarded, inPlace(4))))
	assert.False(t, attempt.CanResumeInPlace(after(resumable, eventForwarded, inPlace(5))))
	assert.False(t, attempt.CanResumeInPlace(after(resumable)), "no event was forwarded from which the stream can be resumed")
	assert.False(t, attempt.CanResumeInPlace(after(stream, eventForwarded)))
	assert.Equal(t, 100*time.Millisecond, attempt.OtherEndpointsTimeout())
	for times, pause := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		assert.Equal(t, pause, attempt.ResumeBackoff(after(resumable, eventForwarded, inPlace(times))), "after %d times", times)
	}
}
