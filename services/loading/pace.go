// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import "time"

const (
	// firstLoadTime is the time of an adapter's load until one was measured.
	firstLoadTime = 250 * time.Millisecond
	// firstConcurrency, leastConcurrency and mostConcurrency bound how many adapters may come
	// from the weight store at once.
	firstConcurrency = 8.0
	leastConcurrency = 1.0
	mostConcurrency  = 200.0
	// crowded is how many times the shortest load time a load may take before there are too many at
	// once; from then on more loads at once only make each other longer.
	crowded = 1.5
	// backOff is the factor by which concurrency falls after a crowded load.
	backOff = 0.85
	// forgetting lets the shortest load time follow a store that became slower for good.
	forgetting = 1.01
	// smoothing is the weight of the newest load in the typical load time.
	smoothing = 0.2
)

// pace finds how many adapters the weight store can bring at once: more while loads take
// their shortest time, fewer when they make each other slower.
type pace struct {
	limit float64
	// probing is set until the first crowded load: the limit then doubles in the time of one load.
	probing bool
	// backedOff is when the limit last fell: loads that ran beside each other tell the same once.
	backedOff time.Time
	shortest  time.Duration
	typical   time.Duration
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
	return p.shortest * 4 / 5
}

// note takes in the time of one load.
func (p *pace) note(now time.Time, took time.Duration) {
	p.typical += time.Duration(smoothing * float64(took-p.typical))
	p.shortest = min(took, time.Duration(float64(p.shortest)*forgetting))
	if float64(took) > crowded*float64(p.shortest) {
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
		step = 1
	}
	p.limit = min(mostConcurrency, p.limit+step)
}
