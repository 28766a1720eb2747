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
	// driftThreshold is the change of the wall clock against the monotonic clock from which on the suspended time is read from the system.
	driftThreshold = 2 * time.Millisecond
	// checkInterval is the time after which the suspended time is read in any case: a suspension and a step of the wall clock may cancel
	// each other out.
	checkInterval = time.Second
	// minSuspension is the shortest suspension that counts; it is longer than the time between the readings of the two clocks.
	minSuspension = time.Millisecond
)

// Sources are the clocks of the system, as function fields.
type Sources struct {
	// Now returns the wall clock time with a monotonic clock reading.
	Now func() time.Time
	// TimeOfDay returns the wall clock time of a result of Now.
	TimeOfDay func(now time.Time) time.Time
	// Suspended returns how long the host has been suspended in total since it booted; on an error the last value stays in use.
	Suspended func() (time.Duration, error)
	// OnSuspension, if not nil, is called with the duration of each suspension.
	OnSuspension func(span time.Duration)
}

// Clock provides the current time, including the time for which the host was suspended. It is safe for concurrent use.
type Clock struct {
	sources Sources
	started time.Time
	// suspendedAtStart is how long the host had been suspended when the Clock was created, offset how long it has been suspended since.
	suspendedAtStart time.Duration
	offset           atomic.Int64
	// drift is the change of the wall clock against the monotonic clock at the last check, lastCheck the time of that check. Both count from
	// the creation of the Clock.
	drift, lastCheck atomic.Int64

	mutex     sync.Mutex
	deadlines map[*deadline]struct{}
}

// deadline is the deadline of a context that is in use.
type deadline struct {
	at     time.Time
	cancel context.CancelFunc
}

// New returns a Clock that counts suspensions from now on. It fails if the system does not report its suspended time.
func New(sources Sources) (*Clock, error) {
	suspendedAtStart, err := sources.Suspended()
	if err != nil {
		return nil, err
	}
	return &Clock{sources: sources, started: sources.Now(), suspendedAtStart: suspendedAtStart, deadlines: make(map[*deadline]struct{})}, nil
}

// System returns the clocks of the operating system.
func System() Sources {
	return Sources{Now: time.Now, TimeOfDay: func(now time.Time) time.Time { return now.Round(0) }, Suspended: suspended}
}

// suspended returns the difference of CLOCK_BOOTTIME and CLOCK_MONOTONIC, which is the time for which the host was suspended.
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

// Now returns the current time. The difference of two results includes the time for which the host was suspended between them. Only
// differences are valid: the wall clock time of a result includes a suspension twice.
func (c *Clock) Now() time.Time {
	now := c.sources.Now()
	elapsed := now.Sub(c.started)
	drift := c.sources.TimeOfDay(now).Sub(c.started.Round(0)) - elapsed
	change := drift - time.Duration(c.drift.Load())
	if change.Abs() >= driftThreshold || elapsed-time.Duration(c.lastCheck.Load()) >= checkInterval {
		c.updateOffset(now, drift, elapsed)
	}
	return now.Add(time.Duration(c.offset.Load()))
}

// updateOffset reads the suspended time from the system and cancels the deadlines that passed during a suspension.
func (c *Clock) updateOffset(now time.Time, drift, elapsed time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.drift.Store(int64(drift))
	c.lastCheck.Store(int64(elapsed))
	total, err := c.sources.Suspended()
	if err != nil {
		// The error is taken as temporary, since the call in New succeeded; the next check reads the suspended time again.
		return
	}
	span := total - c.suspendedAtStart - time.Duration(c.offset.Load())
	if span < minSuspension {
		return
	}
	c.offset.Store(int64(total - c.suspendedAtStart))
	c.cancelExpired(now.Add(total - c.suspendedAtStart))
	if c.sources.OnSuspension != nil {
		c.sources.OnSuspension(span)
	}
}

// TimerTime returns the time at which a timer of the runtime must fire for a time of this Clock, if the host is not suspended until then.
func (c *Clock) TimerTime(at time.Time) time.Time {
	return at.Add(-time.Duration(c.offset.Load()))
}

// WithDeadline returns a context that ends at a time of this Clock, also across a suspension. The caller must call the cancel function
// when the work is done.
func (c *Clock) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(parent, c.TimerTime(at))
	d := &deadline{at: at, cancel: cancel}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadlines[d] = struct{}{}
	return ctx, func() {
		c.removeDeadline(d)
		cancel()
	}
}

func (c *Clock) removeDeadline(d *deadline) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.deadlines, d)
}

// cancelExpired cancels the contexts whose deadline passed while the host was suspended, and starts new timers for the others: their
// timers stopped during the suspension. The caller holds the mutex.
func (c *Clock) cancelExpired(now time.Time) {
	for d := range c.deadlines {
		if left := d.at.Sub(now); left > 0 {
			time.AfterFunc(left, d.cancel)
			continue
		}
		d.cancel()
	}
}
