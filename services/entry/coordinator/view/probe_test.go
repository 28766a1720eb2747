// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
)

// TestALateFirstViewIsNotHeldAgainstAllLaterOnes is a member whose first report over a link waited for 0.9 s before the planner read it,
// as at a take-over, when all members report to a planner with a slow link at once. Each later view comes without delay, and the
// member goes on reporting, so it has to rely on them again before long.
func TestALateFirstViewIsNotHeldAgainstAllLaterOnes(t *testing.T) {
	const (
		first = 900 * time.Millisecond
		// trip is how long the planner takes to answer a report with a view.
		trip = 20 * time.Millisecond
	)
	var f view.Followed
	f.Opened(start)
	now, planned := start.Add(first), time.Minute
	f.Take(now, made(4, planned))
	probes := 0
	for range 10 {
		if probe, ok := f.NextProbe(now); ok {
			probes++
			answer := made(4, planned+trip)
			answer.Probe = probe
			f.Take(now.Add(trip), answer)
		}
		now, planned = now.Add(heartbeat), planned+heartbeat
		f.Take(now, made(4, planned))
	}
	assert.True(t, f.Fresh(now.Add(heartbeat-step)), "4 s later, up to the next heartbeat: a delay of %s is assumed", f.Delay)
	assert.Equal(t, 1, probes, "a tight bound needs no other")
}

func TestAProbeTellsADelayFromALooseBound(t *testing.T) {
	var f view.Followed
	_, ok := f.NextProbe(start)
	assert.False(t, ok, "there is nothing to ask for before the first view")
	f.Opened(start)
	f.Take(start.Add(2*time.Second), made(4, time.Minute))
	probe, ok := f.NextProbe(start.Add(2 * time.Second))
	assert.True(t, ok)
	_, ok = f.NextProbe(start.Add(2500 * time.Millisecond))
	assert.False(t, ok, "one was sent a moment ago")

	other := made(4, time.Minute+500*time.Millisecond)
	other.Probe = probe + 1
	f.Take(start.Add(2500*time.Millisecond), other)
	assert.Equal(t, 2*time.Second, f.Delay, "it answers no probe of this link")

	// The planner took the probe after 0.1 s, and the view waited for 0.8 s: the bound is 0.9 s.
	answer := made(4, time.Minute+200*time.Millisecond)
	answer.Probe = probe
	f.Take(start.Add(2900*time.Millisecond), answer)
	assert.Equal(t, 900*time.Millisecond, f.Delay)
	f.Take(start.Add(4*time.Second), made(4, time.Minute+2*time.Second))
	assert.Equal(t, 200*time.Millisecond, f.Delay, "later views are bounded by it")
}
