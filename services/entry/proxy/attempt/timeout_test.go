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
		"neither says":                     {0, 0, 10 * time.Minute},
		"only the route":                   {3 * time.Second, 0, 3 * time.Second},
		"only the caller":                  {0, 2 * time.Second, 2 * time.Second},
		"only the caller, and very long":   {0, time.Hour, time.Hour},
		"the caller is just shorter":       {3 * time.Second, 3*time.Second - 1, 3*time.Second - 1},
		"both are the same":                {3 * time.Second, 3 * time.Second, 3 * time.Second},
		"the caller is just longer":        {3 * time.Second, 3*time.Second + 1, 3 * time.Second},
		"a negative time-out of the route": {-1, 0, 10 * time.Minute},
		"a negative one of the caller":     {3 * time.Second, -1, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, now.Add(test.limit), attempt.Deadline(now, &deployment.Route{Timeout: test.route}, test.caller))
		})
	}
}

// TestACallerThatLeavesASilentEndpointTellsOfIt: callers of the routes listen for four targets of 0.8 s. One that leaves a little before,
// by its own clock, still left for the silence; one that leaves sooner did not, and neither did one whose answer comes whole.
func TestACallerThatLeavesASilentEndpointTellsOfIt(t *testing.T) {
	for name, test := range map[string]struct {
		situation attempt.Situation
		silent    bool
	}{
		"a stream, all of the span":      {after(stream, silentFor(3200*time.Millisecond)), true},
		"a stream, nine tenths of it":    {after(stream, silentFor(2880*time.Millisecond)), true},
		"a stream, a little less":        {after(stream, silentFor(2880*time.Millisecond-1)), false},
		"a resumable stream":             {after(resumable, silentFor(3200*time.Millisecond)), true},
		"an answer that comes whole":     {after(unsafe, silentFor(time.Minute)), false},
		"a safe one that comes whole":    {after(safe, silentFor(time.Minute)), false},
		"a stream that goes on, at once": {after(stream), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.silent, attempt.WasSilent(test.situation))
		})
	}
	assert.Equal(t, 1600*time.Millisecond, attempt.RetryWait(stream))
	assert.Equal(t, 1600*time.Millisecond, attempt.RetryWait(resumable))
}

func TestWhenAnotherEndpointIsLookedFor(t *testing.T) {
	unknownPause := &deployment.Route{Kind: deployment.Streaming, MaxAttempts: 2, TargetLatency: 800 * time.Millisecond, Resumable: true}
	const least = 50 * time.Millisecond
	for name, test := range map[string]struct {
		situation attempt.Situation
		after     time.Duration
		searches  bool
	}{
		"a stream":                        {after(stream, headPassed, eventPassed), 0, false},
		"a stream without a head":         {after(stream), 0, false},
		"an unsafe request":               {after(unsafe), 0, false},
		"a resumable stream":              {after(resumable, headPassed, eventPassed), time.Second, true},
		"without a head":                  {after(resumable), 3200 * time.Millisecond, true},
		"the last attempt":                {after(resumable, headPassed, eventPassed, sent(2)), 0, false},
		"too many attempts":               {after(resumable, headPassed, eventPassed, sent(3)), 0, false},
		"without a pause target":          {after(unknownPause, headPassed, eventPassed), 0, false},
		"a body that is not held":         {after(resumable, headPassed, eventPassed, bodyNotHeld), 0, false},
		"events without ids":              {after(resumable, headPassed), 0, false},
		"the deadline just later":         {after(resumable, headPassed, eventPassed, until(now.Add(time.Second+1))), time.Second, true},
		"the deadline just reached":       {after(resumable, headPassed, eventPassed, until(now.Add(time.Second))), 0, false},
		"a safe request, an attempt left": {after(safe), 5 * time.Second, true},
		"a safe request, the last one":    {after(safe, sent(2)), 0, false},
		"a safe request, too many":        {after(safe, sent(3)), 0, false},
		"a safe request, just in time":    {after(safe, until(now.Add(2*least))), least, true},
		"a safe request, just too late":   {after(safe, until(now.Add(2*least-1))), 0, false},
		"a safe request, at the deadline": {after(safe, until(now)), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			after, searches := attempt.SearchAfter(now, test.situation)
			assert.Equal(t, test.searches, searches)
			if searches {
				assert.Equal(t, test.after, after)
			}
		})
	}
}

func TestWhichStreamsGoOnInPlace(t *testing.T) {
	assert.True(t, attempt.ResumesInPlace(after(resumable, eventPassed)))
	assert.True(t, attempt.ResumesInPlace(after(resumable, eventPassed, inPlace(1))))
	assert.True(t, attempt.ResumesInPlace(after(resumable, eventPassed, inPlace(4))))
	assert.False(t, attempt.ResumesInPlace(after(resumable, eventPassed, inPlace(5))))
	assert.False(t, attempt.ResumesInPlace(after(resumable)), "nothing was made that it could go on from")
	assert.False(t, attempt.ResumesInPlace(after(stream, eventPassed)))
	assert.Equal(t, 100*time.Millisecond, attempt.ElsewhereTime())
	for times, pause := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		assert.Equal(t, pause, attempt.ResumePause(after(resumable, eventPassed, inPlace(times))), "after %d times", times)
	}
}
