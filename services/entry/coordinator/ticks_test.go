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

// TestPlannerWithoutOrderRightPlansOnTicksOnly disconnects a planner from the store while a load is in progress. The
// planner must not poll the end of that load any more.
func TestPlannerWithoutOrderRightPlansOnTicksOnly(t *testing.T) {
	const (
		// span is the observed time after the end of the order window.
		span = 500 * time.Millisecond
		// maxCalls is the maximum number of functions that the control goroutine may run in that time: 40 ticks a second,
		// and the same number for the goroutines beside it.
		maxCalls = 100
	)
	f := newFixture()
	var calls atomic.Int64
	f.now = func() time.Time {
		if onControlGoroutine() {
			calls.Add(1)
		}
		return time.Now()
	}
	f.start(t)
	f.waitForOrdering(t, 1)
	f.engine.keepLoading()
	f.store.setDown(true)
	time.Sleep(500 * time.Millisecond)
	_, _, err := f.acquire("a1", 50*time.Millisecond)
	require.Error(t, err)
	require.Positive(t, f.engine.loadCount(), "a load begins within the order window")
	time.Sleep(1500 * time.Millisecond)
	before := calls.Load()
	time.Sleep(span)
	assert.LessOrEqual(t, calls.Load()-before, int64(maxCalls))
}
