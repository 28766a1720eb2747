// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import "time"

// Pace gives the tests of edges the pace of loads without a planner.
type Pace struct {
	pace pace
}

// NewPace makes a pace in its first state.
func NewPace() *Pace {
	return &Pace{pace: newPace()}
}

// Note takes in the time of one load.
func (p *Pace) Note(now time.Time, took time.Duration) {
	p.pace.note(now, took)
}

// Concurrency is how many loads may run at once.
func (p *Pace) Concurrency() int {
	return p.pace.concurrency()
}

// FirstLook is after how long a load is asked about first.
func (p *Pace) FirstLook() time.Duration {
	return p.pace.firstLook()
}

// ModelLoads gives the tests of edges the bound of loads of base models without a planner.
type ModelLoads struct {
	ledger *rateLedger
}

// NewModelLoads makes the bound.
func NewModelLoads(options RateOptions) ModelLoads {
	return ModelLoads{ledger: newRateLedger(options)}
}

// Assume counts loads of a former planner.
func (l ModelLoads) Assume(now time.Time, count int) {
	l.ledger.assume(now, count)
}

// Allows reports whether one more load may begin.
func (l ModelLoads) Allows(now time.Time) bool {
	return l.ledger.allows(now)
}

// Begin counts a load.
func (l ModelLoads) Begin(now time.Time) {
	l.ledger.begin(now)
}

// LoadTime is the usual time of a load.
func (p *Pace) LoadTime() time.Duration {
	return p.pace.typical
}
