// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"
)

const (
	// firstLoadTime is the time of a load of an adapter from the weight store until one was measured. Longer asks later about the first
	// loads.
	firstLoadTime = 250 * time.Millisecond
	// firstConcurrency is how many loads of adapters from the weight store may run at once at first. More fills an empty fleet sooner, and
	// makes each load longer if the store cannot bring so many.
	firstConcurrency = 8.0
	// leastConcurrency and mostConcurrency bound how many may run at once, in loads. The least is what may run before anything was
	// measured, so that a fleet whose loads became slower for another reason goes on loading; the most bounds the work of one plan.
	leastConcurrency = firstConcurrency
	mostConcurrency  = 200.0
	// slowFactor is how many times the shortest load time the shortest of the last loads (slowRun) may surely take before there are too
	// many at once; from then on more at once only make each other longer, also the one that most requests wait for. Higher lets more run
	// beside each other, lower takes the planner's own delays for the weight store's.
	slowFactor = 1.25
	// slowRun is how many loads, a count, must all be slow. A store that is asked for too much makes all of them slow; an endpoint that
	// answers late, or a planner that asks late, makes single ones so. By the mean of all, 12 to 29 loads ran at once on a day with late
	// endpoints, of 32 that the store brings at full speed. More is surer and slower to see it.
	slowRun = 8
	// backOff is the factor by which concurrency falls after slow loads. Lower recovers sooner from too many and leaves the store idle.
	backOff = 0.85
	// forgetting is the part of itself by which the shortest load time grows in a second, so that it follows a store that became slower for
	// good. Higher follows sooner and mistakes too many loads at once for a slower store: where it grew with each load instead, it had
	// doubled after 70, all loads were looked at later than they ended, and the limit went up to the most.
	forgetting = 0.02
	// usedShare is the part of the limit that must run for the limit to grow: one that nothing has reached tells nothing of the weight
	// store.
	usedShare = 0.5
	// smoothing is the weight of the newest load in the typical load time. Higher follows changes sooner, with more noise.
	smoothing = 0.2
	// firstLookFifths is after how many fifths of the shortest load time a load is asked about first, so that one that is shorter is
	// noticed, and leastLookFifths the fewest after loads that had all ended by then. Fewer cost polls in vain.
	firstLookFifths = 4
	leastLookFifths = 2
	fifths          = 5
	// earlierLook is the factor by which the first look comes earlier after quickRun loads that had ended by it. Lower follows a store that
	// became faster sooner, at the cost of polls in vain.
	earlierLook = 0.9
	// probeStep is by how much concurrency grows with each load until the first slow one, in loads, so that it doubles in the time of one
	// load.
	probeStep = 1.0
	// quickRun is how many loads in a row must have ended by the first look at them for the next ones to be looked at earlier. Their own
	// time is not known, and one that the endpoint had kept, though nobody knew, takes a tenth and tells nothing of the weight store: taken
	// for the store's, they made all others look slow. More bears more kept loads in a row, fewer follows a store that became faster
	// sooner.
	quickRun = 8
)

// pace finds how many adapters the weight store can bring at once: more while loads take
// their shortest time, fewer when they make each other slower.
type pace struct {
	limit float64
	// probing is set until loads were slow first: the limit then doubles in the time of one load.
	probing bool
	// backedOff is when the limit last fell: loads that ran beside each other tell the same once.
	backedOff time.Time
	// shortest is the shortest load time as of shortestAt.
	shortest   time.Duration
	shortestAt time.Time
	typical    time.Duration
	// look is after how long a load is asked about first.
	look time.Duration
	// last are how long the last loads took at least, slowRun of them at most.
	last []time.Duration
	// quick counts the loads in a row that had ended by the first look at them.
	quick int
}

// loadEnd is what the end of a load tells of the weight store.
type loadEnd struct {
	// took is how long it was until the end was seen, atLeast how long until the endpoint was last asked that said that it goes on.
	took    time.Duration
	atLeast time.Duration
	// quick says that it had ended by the first look at it, so that it may have been shorter.
	quick bool
	// running is how many loads ran at its end, itself included.
	running int
}

func newPace() pace {
	return pace{
		limit: firstConcurrency, probing: true, shortest: firstLoadTime, typical: firstLoadTime,
		look: firstLoadTime * firstLookFifths / fifths,
	}
}

// concurrency is how many loads may run at once.
func (p *pace) concurrency() int {
	return int(p.limit)
}

// firstLook is after how long a load is asked about first: a little before the shortest time,
// so that a shorter one is noticed.
func (p *pace) firstLook() time.Duration {
	return p.look
}

// note takes in the end of one load.
func (p *pace) note(now time.Time, end loadEnd) {
	if end.quick {
		p.noteQuick()
		return
	}
	p.quick = 0
	p.typical += time.Duration(smoothing * float64(end.took-p.typical))
	p.noteShortest(now, end.took)
	p.look = p.shortest * firstLookFifths / fifths
	p.noteLast(end.atLeast)
	if len(p.last) == slowRun && float64(slices.Min(p.last)) > slowFactor*float64(p.shortest) {
		p.slowDown(now, end.running)
		return
	}
	if float64(end.running) >= usedShare*p.limit {
		p.speedUp()
	}
}

// noteQuick takes in a load that had ended by the first look at it.
func (p *pace) noteQuick() {
	p.quick++
	if p.quick < quickRun {
		return
	}
	p.quick = 0
	p.look = max(time.Duration(earlierLook*float64(p.look)), p.shortest*leastLookFifths/fifths)
}

// noteShortest takes a load time into the shortest one, which grows with time.
func (p *pace) noteShortest(now time.Time, took time.Duration) {
	grown := p.shortest
	if now.After(p.shortestAt) && !p.shortestAt.IsZero() {
		grown += time.Duration(forgetting * now.Sub(p.shortestAt).Seconds() * float64(p.shortest))
	}
	p.shortest, p.shortestAt = min(took, grown), now
}

// noteLast keeps how long the last loads took at least. A planner that is late sees their ends late, and would
// take each load for a slow one.
func (p *pace) noteLast(atLeast time.Duration) {
	p.last = append(p.last, atLeast)
	if len(p.last) > slowRun {
		p.last = p.last[1:]
	}
}

// slowDown lowers the limit, once for loads that ran beside each other. Those that take so many times the shortest time are as many times
// more than the store brings at full speed, so that the limit falls to what it bears at once; after the search for it, which doubles it
// in the time of one load, it would take a second and more in steps.
func (p *pace) slowDown(now time.Time, running int) {
	p.probing = false
	if now.Sub(p.backedOff) < p.typical {
		return
	}
	p.backedOff = now
	borne := float64(running) * slowFactor * float64(p.shortest) / float64(slices.Min(p.last))
	p.limit = max(leastConcurrency, min(p.limit*backOff, borne))
}

// speedUp raises the limit by one load in the time of all that may run, and by one for each while it is looked for first.
func (p *pace) speedUp() {
	step := 1 / p.limit
	if p.probing {
		step = probeStep
	}
	p.limit = min(mostConcurrency, p.limit+step)
}
