// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import "time"

// LoadLimiter exposes the concurrency limit of loads to tests without a planner.
type LoadLimiter struct {
	loadLimiter loadLimiter
}

// NewLoadLimiter returns the limit in its initial state.
func NewLoadLimiter() *LoadLimiter {
	return &LoadLimiter{loadLimiter: newLoadLimiter()}
}

// Record records one load that was polled before its end, while as many loads ran as the limit allows.
func (p *LoadLimiter) Record(now time.Time, took time.Duration) {
	p.loadLimiter.record(now, loadMeasurement{took: took, minTook: took, parallelLoads: p.MaxLoads()})
}

// RecordParallel records the end of a load observed after took and not before minTook, while the given number of loads
// ran.
func (p *LoadLimiter) RecordParallel(now time.Time, took, minTook time.Duration, parallelLoads int) {
	p.loadLimiter.record(now, loadMeasurement{took: took, minTook: minTook, parallelLoads: parallelLoads})
}

// RecordEarlyEnd records one load that had ended by its first poll.
func (p *LoadLimiter) RecordEarlyEnd(now time.Time, took time.Duration) {
	p.loadLimiter.record(now, loadMeasurement{took: took, early: true, parallelLoads: p.MaxLoads()})
}

// MaxLoads returns how many loads may run at once.
func (p *LoadLimiter) MaxLoads() int {
	return p.loadLimiter.maxLoads()
}

// FirstPollDelay returns the delay before the first poll of a load.
func (p *LoadLimiter) FirstPollDelay() time.Duration {
	return p.loadLimiter.firstPollDelay()
}

// ModelLimiter exposes the rate limit of base model loads to tests without a planner.
type ModelLimiter struct {
	limiter *windowLimiter
}

// NewModelLimiter returns a limiter with the given options.
func NewModelLimiter(options RateOptions) ModelLimiter {
	return ModelLimiter{limiter: newWindowLimiter(options)}
}

// Assume sets the number of loads of former planners.
func (l ModelLimiter) Assume(now time.Time, count int) {
	l.limiter.assume(now, count)
}

// Allows reports whether one more load may start.
func (l ModelLimiter) Allows(now time.Time) bool {
	return l.limiter.allows(now)
}

// Record records a load.
func (l ModelLimiter) Record(now time.Time) {
	l.limiter.record(now)
}

// TypicalLoadTime returns the typical duration of a load.
func (p *LoadLimiter) TypicalLoadTime() time.Duration {
	return p.loadLimiter.typicalLoadTime
}
