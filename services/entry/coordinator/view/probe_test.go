// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
)

// TestLateFirstViewDoesNotLoosenLaterBounds has a member whose first report over a link waits for 0.9 s before the planner reads
// it, as after a change of planners, when all members report at once over a slow link. Each later view arrives without delay, and
// the member keeps reporting, so it must soon rely on the views again.
func TestLateFirstViewDoesNotLoosenLaterBounds(t *testing.T) {
	const (
		first = 900 * time.Millisecond
		// roundTrip is the time from sending a report until the view that answers it is received.
		roundTrip = 20 * time.Millisecond
	)
	var state view.PlannerState
	state.LinkOpened(start)
	now, planned := start.Add(first), time.Minute
	state.Apply(now, viewWithTermAge(4, planned))
	probes := 0
	for range 10 {
		if probe, ok := state.NextProbe(now); ok {
			probes++
			answer := viewWithTermAge(4, planned+roundTrip)
			answer.Probe = probe
			state.Apply(now.Add(roundTrip), answer)
		}
		now, planned = now.Add(heartbeatInterval), planned+heartbeatInterval
		state.Apply(now, viewWithTermAge(4, planned))
	}
	assert.True(t, state.Fresh(now.Add(heartbeatInterval-step)), "4 s later, just before the next heartbeat: a delay of %s is assumed", state.Delay)
	assert.Equal(t, 1, probes, "a tight bound needs no further probe")
}

func TestProbeTightensDelayBound(t *testing.T) {
	var state view.PlannerState
	_, ok := state.NextProbe(start)
	assert.False(t, ok, "no probe before the first view")
	state.LinkOpened(start)
	state.Apply(start.Add(2*time.Second), viewWithTermAge(4, time.Minute))
	probe, ok := state.NextProbe(start.Add(2 * time.Second))
	assert.True(t, ok)
	_, ok = state.NextProbe(start.Add(2500 * time.Millisecond))
	assert.False(t, ok, "the last probe is too recent")

	other := viewWithTermAge(4, time.Minute+500*time.Millisecond)
	other.Probe = probe + 1
	state.Apply(start.Add(2500*time.Millisecond), other)
	assert.Equal(t, 2*time.Second, state.Delay, "the view answers no probe of this link")

	// The planner received the probe after 0.1 s, and the view was delayed by 0.8 s: the bound is 0.9 s.
	answer := viewWithTermAge(4, time.Minute+200*time.Millisecond)
	answer.Probe = probe
	state.Apply(start.Add(2900*time.Millisecond), answer)
	assert.Equal(t, 900*time.Millisecond, state.Delay)
	state.Apply(start.Add(4*time.Second), viewWithTermAge(4, time.Minute+2*time.Second))
	assert.Equal(t, 200*time.Millisecond, state.Delay, "the bound applies to later views")
}
