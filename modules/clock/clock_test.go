// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/clock"
)

// fakeHost is a host that a test suspends. Its wall clock counts the suspension, its monotonic clock does not.
type fakeHost struct {
	suspended time.Duration
	// step is the amount by which the wall clock was set forward or back.
	step         time.Duration
	suspendedErr error
	suspensions  []time.Duration
}

func (h *fakeHost) newClock(t *testing.T) *clock.Clock {
	t.Helper()
	c, err := clock.New(clock.Sources{
		Now: time.Now, TimeOfDay: func(now time.Time) time.Time { return now.Round(0).Add(h.suspended + h.step) },
		Suspended:    func() (time.Duration, error) { return time.Minute + h.suspended, h.suspendedErr },
		OnSuspension: func(span time.Duration) { h.suspensions = append(h.suspensions, span) },
	})
	require.NoError(t, err)
	return c
}

func TestNowIncludesSuspension(t *testing.T) {
	h := &fakeHost{}
	c := h.newClock(t)
	before := c.Now()
	h.suspended = 5 * time.Second
	assert.InDelta(t, 5, c.Now().Sub(before).Seconds(), 0.5, "at the first reading after the suspension")
	assert.Equal(t, []time.Duration{5 * time.Second}, h.suspensions)
	h.suspended, h.step = 7*time.Second, -2*time.Second
	time.Sleep(1100 * time.Millisecond)
	assert.InDelta(t, 8.1, c.Now().Sub(before).Seconds(), 0.5, "a suspension that a step of the wall clock cancels out")
}

func TestTimeOfDayStepIsNotCounted(t *testing.T) {
	h := &fakeHost{}
	c := h.newClock(t)
	before := c.Now()
	h.step = time.Hour
	assert.Less(t, c.Now().Sub(before), time.Second)
	h.step = -time.Hour
	assert.InDelta(t, 0, c.Now().Sub(before).Seconds(), 1)
	at := c.Now()
	assert.Equal(t, at, c.TimerTime(at))
	assert.Empty(t, h.suspensions)
	h.suspendedErr = errors.New("no such clock")
	time.Sleep(1100 * time.Millisecond)
	assert.Less(t, c.Now().Sub(before), 3*time.Second)
}

func TestExpiredDeadlinesAreCancelledAfterSuspension(t *testing.T) {
	h := &fakeHost{}
	c := h.newClock(t)
	now := c.Now()
	expired, cancel := c.WithDeadline(context.Background(), now.Add(3*time.Second))
	defer cancel()
	later, cancelLater := c.WithDeadline(context.Background(), now.Add(5500*time.Millisecond))
	defer cancelLater()
	done, cancelDone := c.WithDeadline(context.Background(), now.Add(time.Minute))
	cancelDone()
	assert.ErrorIs(t, done.Err(), context.Canceled)
	h.suspended = 5 * time.Second
	require.NoError(t, expired.Err(), "the clock has not been read since the suspension")
	c.Now()
	require.Error(t, expired.Err())
	require.NoError(t, later.Err())
	assert.Eventually(t, func() bool { return later.Err() != nil }, 2*time.Second, 10*time.Millisecond, "its timer stopped for five seconds")
	deadline, ok := expired.Deadline()
	assert.True(t, ok)
	assert.Equal(t, now.Add(3*time.Second), deadline)
	assert.Equal(t, now.Add(time.Minute-5*time.Second), c.TimerTime(now.Add(time.Minute)))
}

func TestSystemClockReportsSuspension(t *testing.T) {
	c, err := clock.New(clock.System())
	require.NoError(t, err)
	assert.WithinDuration(t, time.Now(), c.Now(), time.Second)
	_, err = clock.New(clock.Sources{Suspended: func() (time.Duration, error) { return 0, errors.New("no such clock") }})
	assert.Error(t, err)
}

func BenchmarkNow(b *testing.B) {
	c, err := clock.New(clock.System())
	require.NoError(b, err)
	for b.Loop() {
		c.Now()
	}
}
