// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// TestAnEarlierLookDoesNotUseUpTheReluctance is a weak instance that looked at the record while its holder was well, as each does when
// it starts and when a view asks it to: the time for which it leaves the record to others begins when the holder falls silent.
func TestAnEarlierLookDoesNotUseUpTheReluctance(t *testing.T) {
	const reluctance = 1200 * time.Millisecond
	weak := silentHolder(func(s *lease.Sighting) { s.Reluctance = reluctance })
	well := weak
	well.Silence = 0
	var candidate lease.Candidate
	candidate.Decide(start, well)
	fell := start.Add(time.Minute)
	assert.Equal(t, lease.LeaveToOthers, candidate.Decide(fell, weak), "the holder has just fallen silent")
	assert.Equal(t, lease.LeaveToOthers, candidate.Decide(fell.Add(reluctance-step), weak))
	assert.Equal(t, lease.TakeWithoutHeartbeat, candidate.Decide(fell.Add(reluctance), weak))
}
