// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"math"
	"time"
)

// windowLimiter keeps the number of base model loads that start within any sliding window below the rate limit of the
// weight store. Adapter loads are not counted.
type windowLimiter struct {
	// limit is the maximum number of loads that may start within a window.
	limit  int
	window time.Duration
	// starts holds the start times of this planner's loads within the last window, oldest first.
	starts []time.Time
	// assumedUntil is when loads that former planners may have started have left the window; assumedCount is their
	// number.
	assumedUntil time.Time
	assumedCount int
}

// RateOptions configure the rate limit of the weight store: the number of loads started in any window must not exceed
// rate x window x tolerance + slack.
type RateOptions struct {
	// PerSecond is the service's limit on base model loads, in loads a second, from its configuration.
	PerSecond float64
	// Window is the length of the sliding window, from the settings.
	Window time.Duration
	// Tolerance is the factor by which the loads in a window may exceed the rate, from the settings.
	Tolerance float64
	// Slack is the number of additional loads allowed in a window, from package platform.
	Slack float64
}

// reservedLoads is the number of loads within the weight store's limit that are reserved for loads whose start was
// not observed, such as orders carried out late. A higher number is safer and loads base models more slowly.
const reservedLoads = 2

// limit returns the maximum number of loads that may start within a window.
func (o RateOptions) limit() int {
	allowed := math.Floor(o.PerSecond*o.Window.Seconds()*o.Tolerance + o.Slack)
	return max(1, int(allowed)-reservedLoads)
}

func newWindowLimiter(options RateOptions) *windowLimiter {
	return &windowLimiter{limit: options.limit(), window: options.Window}
}

// assume sets the number of loads that former planners may have started in the window before now.
func (l *windowLimiter) assume(now time.Time, count int) {
	l.assumedUntil = now.Add(l.window)
	l.assumedCount = count
}

// allows reports whether one more load may start.
func (l *windowLimiter) allows(now time.Time) bool {
	count := l.recent(now)
	if now.Before(l.assumedUntil) {
		count += l.assumedCount
	}
	return count < l.limit
}

// record counts a load that starts now.
func (l *windowLimiter) record(now time.Time) {
	l.prune(now)
	l.starts = append(l.starts, now)
}

// recent returns the number of loads started in the last window.
func (l *windowLimiter) recent(now time.Time) int {
	return len(l.starts) - l.countExpired(now)
}

// countExpired returns how many of the recorded loads started before the last window.
func (l *windowLimiter) countExpired(now time.Time) int {
	oldest := now.Add(-l.window)
	count := 0
	for count < len(l.starts) && !l.starts[count].After(oldest) {
		count++
	}
	return count
}

// prune removes the loads that started before the last window.
func (l *windowLimiter) prune(now time.Time) {
	l.starts = append(l.starts[:0], l.starts[l.countExpired(now):]...)
}
