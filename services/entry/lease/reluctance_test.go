// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// TestReluctanceStartsWhenHolderFallsSilent covers a reluctant instance that read the record while its holder was
// active, as each instance does at its start and when a view asks for it. The time for which it defers to others
// starts when the holder falls silent.
func TestReluctanceStartsWhenHolderFallsSilent(t *testing.T) {
	const reluctance = 1200 * time.Millisecond
	reluctant := silentHolder(func(s *lease.Observation) { s.Reluctance = reluctance })
	active := reluctant
	active.Silence = 0
	var candidate lease.Candidate
	candidate.Decide(start, active)
	silentAt := start.Add(time.Minute)
	assert.Equal(t, lease.DeferToOthers, candidate.Decide(silentAt, reluctant), "the holder has just fallen silent")
	assert.Equal(t, lease.DeferToOthers, candidate.Decide(silentAt.Add(reluctance-step), reluctant))
	assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(silentAt.Add(reluctance), reluctant))
}
