// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// TestTakeoverDelayStartsWhenHolderFallsSilent covers an instance with a takeover delay that read the record while its holder was
// active, as each instance does at its start and when a view asks for it. The time for which it defers to others
// starts when the holder falls silent.
func TestTakeoverDelayStartsWhenHolderFallsSilent(t *testing.T) {
	const takeoverDelay = 1200 * time.Millisecond
	delayed := silentHolder(func(s *lease.Observation) { s.TakeoverDelay = takeoverDelay })
	active := delayed
	active.Silence = 0
	var candidate lease.Candidate
	candidate.Decide(start, active)
	silentAt := start.Add(time.Minute)
	assert.Equal(t, lease.DeferToOthers, candidate.Decide(silentAt, delayed), "the holder has just fallen silent")
	assert.Equal(t, lease.DeferToOthers, candidate.Decide(silentAt.Add(takeoverDelay-step), delayed))
	assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(silentAt.Add(takeoverDelay), delayed))
}

// TestInstanceThatReachesNoEndpointLeavesRecordToOthers guards against a planner whose orders do not arrive.
func TestInstanceThatReachesNoEndpointLeavesRecordToOthers(t *testing.T) {
	const delay = 2 * time.Second
	vacant := lease.Observation{
		Self: "self", Record: lease.Record{Holder: "peer", Term: 4, Ordering: true, Released: true}, Revision: 7, Found: true, CutOff: true,
	}
	own := vacant
	own.Record.Holder = "self"
	for name, test := range map[string]struct {
		observed lease.Observation
		delay    time.Duration
	}{
		"record released by another instance": {vacant, delay},
		"record released by itself":           {own, delay},
	} {
		t.Run(name, func(t *testing.T) {
			var candidate lease.Candidate
			assert.Equal(t, lease.DeferToOthers, candidate.Decide(start, test.observed))
			assert.Equal(t, lease.DeferToOthers, candidate.Decide(start.Add(test.delay-step), test.observed))
			assert.Equal(t, lease.Take, candidate.Decide(start.Add(test.delay), test.observed), "no other instance took it")
			reached := test.observed
			reached.CutOff = false
			assert.Equal(t, lease.Take, candidate.Decide(start.Add(test.delay), reached))
		})
	}
}
