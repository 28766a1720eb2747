// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAPlannerThatMayNotOrderPlansWithItsTicksOnly cuts a planner from the store while a load is under way, whose end it
// may not ask about any more.
func TestAPlannerThatMayNotOrderPlansWithItsTicksOnly(t *testing.T) {
	const (
		// span is looked at, from the end of the order window on.
		span = 500 * time.Millisecond
		// most is how many functions the control goroutine may run in it: 40 ticks a second, and as many again for the
		// goroutines beside it.
		most = 100
	)
	s := newSite()
	var ran atomic.Int64
	s.now = func() time.Time {
		if onControlGoroutine() {
			ran.Add(1)
		}
		return time.Now()
	}
	s.start(t)
	s.begins(t, 1)
	s.engines.loadForever()
	s.store.setDown(true)
	time.Sleep(500 * time.Millisecond)
	_, _, err := s.acquire("a1", 50*time.Millisecond)
	require.Error(t, err)
	require.Positive(t, s.engines.loadCount(), "a load begins within the order window")
	time.Sleep(1500 * time.Millisecond)
	before := ran.Load()
	time.Sleep(span)
	assert.LessOrEqual(t, ran.Load()-before, int64(most))
}
