// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import "time"

const (
	// firstLoadTime is the time of a load of an adapter from the weight store until one was measured. Longer asks later
	// about the first loads. Measured: a load takes 0.265 s alone (docs/design/0006-measured.md, "adapters loaded at the
	// base models' rate ... or by their own load time").
	firstLoadTime = 250 * time.Millisecond
	// firstConcurrency is how many loads of adapters from the weight store may run at once at first. More fills an empty
	// fleet sooner, and makes each load longer if the store cannot bring so many. Measured: docs/design/0006-measured.md,
	// "eight loads at once from the start".
	firstConcurrency = 8.0
	// leastConcurrency and mostConcurrency bound how many may run at once, in loads. The least keeps loads going whatever
	// they take; the most bounds the work of one plan. Measured: docs/design/0006-measured.md, "loads at once bounded at
	// 11"; the value of 200 itself was not varied.
	leastConcurrency = 1.0
	mostConcurrency  = 200.0
	// slowFactor is how many times the shortest load time a load may take before there are too many at once; from then on
	// more loads at once only make each other longer. Higher lets more run beside each other, each taking longer.
	// Measured: docs/design/0006-measured.md, "what the weight store brings" (1.5 came with f20ffc7, 2 before).
	slowFactor = 1.5
	// backOff is the factor by which concurrency falls after a slow load. Lower recovers sooner from too many and leaves the
	// store idle. Not measured.
	backOff = 0.85
	// forgetting is the factor by which the shortest load time grows with each load, so that it follows a store that became
	// slower for good. Higher follows sooner and mistakes too many loads at once for a slower store. Not measured.
	forgetting = 1.01
	// smoothing is the weight of the newest load in the typical load time. Higher follows changes sooner, with more noise.
	// Not measured.
	smoothing = 0.2
	// firstLookFifths is after how many fifths of the shortest load time a load is asked about first, so that one that is
	// shorter is noticed. Fewer cost polls in vain. Not measured.
	firstLookFifths = 4
	fifths          = 5
	// probeStep is by how much concurrency grows with each load until the first slow one, in loads, so that it doubles in the
	// time of one load. Measured as part of f20ffc7.
	probeStep = 1.0
	// quickRun is how many loads in a row must have ended by the first look at them before they count: one that the endpoint had
	// kept, though nobody knew, takes a tenth and tells nothing of the weight store. More bears more kept loads in a row, fewer
	// follows a store that became faster sooner. Measured: docs/design/0006-measured.md,
	// "loads that an endpoint had kept"; the count was not varied.
	quickRun = 8
)

// pace finds how many adapters the weight store can bring at once: more while loads take
// their shortest time, fewer when they make each other slower.
type pace struct {
	limit float64
	// probing is set until the first slow load: the limit then doubles in the time of one load.
	probing bool
	// backedOff is when the limit last fell: loads that ran beside each other tell the same once.
	backedOff time.Time
	shortest  time.Duration
	typical   time.Duration
	// quick counts the loads in a row that had ended by the first look at them.
	quick int
}

func newPace() pace {
	return pace{limit: firstConcurrency, probing: true, shortest: firstLoadTime, typical: firstLoadTime}
}

// concurrency is how many loads may run at once.
func (p *pace) concurrency() int {
	return int(p.limit)
}

// firstLook is after how long a load is asked about first: a little before the shortest time,
// so that a shorter one is noticed.
func (p *pace) firstLook() time.Duration {
	return p.shortest * firstLookFifths / fifths
}

// note takes in the time of one load; quick says that it had ended by the first look at it, so that it may have been shorter.
func (p *pace) note(now time.Time, took time.Duration, quick bool) {
	if quick && p.quick < quickRun {
		p.quick++
		return
	}
	p.quick = 0
	p.typical += time.Duration(smoothing * float64(took-p.typical))
	p.shortest = min(took, time.Duration(float64(p.shortest)*forgetting))
	if float64(took) > slowFactor*float64(p.shortest) {
		p.probing = false
		if now.Sub(p.backedOff) < p.typical {
			return
		}
		p.backedOff = now
		p.limit = max(leastConcurrency, p.limit*backOff)
		return
	}
	step := 1 / p.limit
	if p.probing {
		step = probeStep
	}
	p.limit = min(mostConcurrency, p.limit+step)
}
