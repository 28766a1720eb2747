// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// noticed is by how much the time of day must move against the steady clock until the system is asked whether the host was suspended.
	noticed = 2 * time.Millisecond
	// askInterval is after which time it is asked in any case: a suspension and a step of the time of day may cancel each other out.
	askInterval = time.Second
	// leastSuspension is the least span that counts, above what two readings of clocks differ by.
	leastSuspension = time.Millisecond
)

// Sources are the clocks of the system, as function fields.
type Sources struct {
	// Now gives the time of day with the steady clock's reading.
	Now func() time.Time
	// TimeOfDay gives the time of day of such a time.
	TimeOfDay func(now time.Time) time.Time
	// Suspended gives for how long the host has been suspended since it started; an error leaves what was known.
	Suspended func() (time.Duration, error)
	// Noticed is called with the length of each suspension; nil ignores.
	Noticed func(span time.Duration)
}

// Clock is safe for concurrent use.
type Clock struct {
	sources Sources
	started time.Time
	// base is for how long the host had been suspended at the start; offset is for how long it has been since.
	base   time.Duration
	offset atomic.Int64
	// drift is how far the time of day had moved against the steady clock at the last question, asked when that was, since the start.
	drift, asked atomic.Int64

	mutex     sync.Mutex
	deadlines map[*deadline]struct{}
}

// deadline is a bound of work that is under way.
type deadline struct {
	at     time.Time
	cancel context.CancelFunc
}

// New gives a clock that begins to count now; an error says that the system does not tell how long it was suspended.
func New(sources Sources) (*Clock, error) {
	base, err := sources.Suspended()
	if err != nil {
		return nil, err
	}
	return &Clock{sources: sources, started: sources.Now(), base: base, deadlines: make(map[*deadline]struct{})}, nil
}

// System gives the system's clocks.
func System() Sources {
	return Sources{Now: time.Now, TimeOfDay: func(now time.Time) time.Time { return now.Round(0) }, Suspended: suspended}
}

// suspended is what CLOCK_BOOTTIME has counted beyond CLOCK_MONOTONIC.
func suspended() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}

// Now gives the present time: differences between two results count the time for which the host was suspended between them. The time of day
// of a result counts it twice, so that only differences are of use.
func (c *Clock) Now() time.Time {
	now := c.sources.Now()
	steady := now.Sub(c.started)
	drift := c.sources.TimeOfDay(now).Sub(c.started.Round(0)) - steady
	moved := drift - time.Duration(c.drift.Load())
	if moved.Abs() >= noticed || steady-time.Duration(c.asked.Load()) >= askInterval {
		c.ask(now, drift, steady)
	}
	return now.Add(time.Duration(c.offset.Load()))
}

// ask asks the system for how long the host has been suspended.
func (c *Clock) ask(now time.Time, drift, steady time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drift.Store(int64(drift))
	c.asked.Store(int64(steady))
	total, err := c.sources.Suspended()
	if err != nil {
		// New has had an answer; the next question follows.
		return
	}
	span := total - c.base - time.Duration(c.offset.Load())
	if span < leastSuspension {
		return
	}
	c.offset.Store(int64(total - c.base))
	c.endPassed(now.Add(total - c.base))
	if c.sources.Noticed != nil {
		c.sources.Noticed(span)
	}
}

// Timer gives the moment at which a timer of the runtime must fire for a time of this clock, if the host is not suspended until then.
func (c *Clock) Timer(at time.Time) time.Time {
	return at.Add(-time.Duration(c.offset.Load()))
}

// WithDeadline bounds work by a time of this clock, also across a suspension; cancel must be called once it is done.
func (c *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(parent, c.Timer(at))
	one := &deadline{at: at, cancel: cancel}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadlines[one] = struct{}{}
	return ctx, func() {
		c.forget(one)
		cancel()
	}
}

func (c *Clock) forget(one *deadline) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.deadlines, one)
}

// endPassed ends what should have ended while the host was suspended, and has the rest end in time: their timers stood still. The caller
// holds the mutex.
func (c *Clock) endPassed(now time.Time) {
	for one := range c.deadlines {
		if left := one.at.Sub(now); left > 0 {
			time.AfterFunc(left, one.cancel)
			continue
		}
		one.cancel()
	}
}
