// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"
)

const (
	// initialLoadTime is the assumed duration of an adapter load from the weight store until one has been observed. A
	// longer time polls the first loads later.
	initialLoadTime = 250 * time.Millisecond
	// initialConcurrency is the initial limit on adapter loads from the weight store that run at once. A higher limit
	// fills an empty fleet sooner, and makes each load longer if the store cannot serve that many.
	initialConcurrency = 8.0
	// minConcurrency and maxConcurrency bound the number of loads that run at once. The minimum equals the initial
	// limit, so that a fleet whose loads became slower for another reason keeps loading; the maximum bounds the work
	// of one plan.
	minConcurrency = initialConcurrency
	maxConcurrency = 200.0
	// slowFactor is the factor by which the shortest of the last slowLoadCount loads may exceed the shortest load
	// time before the limit is lowered. Beyond that point, more parallel loads only slow each other down, including
	// the one that most requests wait for. A higher factor allows more parallel loads; a lower one mistakes the
	// planner's own delays for a slow store.
	slowFactor = 1.25
	// slowLoadCount is the number of consecutive loads that must all be slow before the limit is lowered. An
	// overloaded store makes all of them slow, whereas an endpoint that replies late, or a planner that polls late,
	// affects single loads. When the mean of all loads was used, the limit was 12 to 29 loads on a day with late
	// endpoints, although the store serves 32 at full speed. A higher count is more reliable and reacts more slowly.
	slowLoadCount = 8
	// backOffFactor is the factor by which the limit falls after slow loads. A lower factor recovers sooner from too
	// many loads and leaves the store idle.
	backOffFactor = 0.85
	// shortestTimeGrowth is the share by which the shortest load time grows each second, so that it follows a store
	// that became permanently slower. A higher share follows sooner and mistakes overload for a slower store. When
	// the shortest time grew with each load instead of with time, it had doubled after 70 loads, all loads were
	// polled only after they had ended, and the limit rose to its maximum.
	shortestTimeGrowth = 0.02
	// minUsedShare is the share of the limit that must be in use for the limit to grow; a limit that is not reached
	// gives no information about the weight store.
	minUsedShare = 0.5
	// smoothing is the weight of the newest load in the typical load time. A higher weight follows changes sooner,
	// with more noise.
	smoothing = 0.2
	// firstPollFifths is the delay before the first poll of a load, in fifths of the shortest load time; polling
	// before that time detects shorter loads. minPollFifths is the lower bound of this delay after loads that had all
	// ended by their first poll. Lower values cost polls in vain.
	firstPollFifths = 4
	minPollFifths   = 2
	fifths          = 5
	// earlierPollFactor is the factor by which the delay of the first poll shrinks after earlyEndCount loads that had
	// ended by their first poll. A lower factor follows a store that became faster sooner, at the cost of polls in vain.
	earlierPollFactor = 0.9
	// probeStep is the increase of the limit for each load until the first slow one, in loads, so that the limit
	// doubles within the duration of one load.
	probeStep = 1.0
	// earlyEndCount is the number of consecutive loads that must have ended by their first poll before the following
	// ones are polled earlier. The duration of such a load is unknown. A load of an adapter that the endpoint still
	// had in its cache, unknown to the planner, takes a tenth of the time and gives no information about the weight
	// store; when such loads were counted as the store's, all others appeared slow. A higher count tolerates more
	// cached loads in a row; a lower one follows a store that became faster sooner.
	earlyEndCount = 8
)

// loadLimiter adapts the number of parallel adapter loads to the weight store's capacity. It raises the limit
// while loads take their shortest time and lowers it when they slow each other down.
type loadLimiter struct {
	limit float64
	// probing is set until loads are slow for the first time; while it is set, the limit doubles within the duration
	// of one load.
	probing bool
	// lastBackOffAt is when the limit last fell. Loads that ran in parallel all show the same overload, which counts
	// once.
	lastBackOffAt time.Time
	// shortest is the shortest load time as of shortestAt.
	shortest        time.Duration
	shortestAt      time.Time
	typicalLoadTime time.Duration
	// pollDelay is the delay before the first poll of a load.
	pollDelay time.Duration
	// recentMinTimes holds the minimum durations of the last loads, at most slowLoadCount.
	recentMinTimes []time.Duration
	// early counts the consecutive loads that had ended by their first poll.
	early int
}

// loadMeasurement is what the end of a load reveals about the weight store.
type loadMeasurement struct {
	// took is the time until the end was observed. minTook is the time until the last poll that found the load still
	// running.
	took    time.Duration
	minTook time.Duration
	// early is set if the load had ended by its first poll, so that it may have been shorter than took.
	early bool
	// parallelLoads is the number of loads running when it ended, including itself.
	parallelLoads int
}

func newLoadLimiter() loadLimiter {
	return loadLimiter{
		limit: initialConcurrency, probing: true, shortest: initialLoadTime, typicalLoadTime: initialLoadTime,
		pollDelay: initialLoadTime * firstPollFifths / fifths,
	}
}

// maxLoads returns how many loads may run at once.
func (l *loadLimiter) maxLoads() int {
	return int(l.limit)
}

// firstPollDelay returns the delay before the first poll of a load: a little less than the shortest load time, so
// that a shorter load is detected.
func (l *loadLimiter) firstPollDelay() time.Duration {
	return l.pollDelay
}

// record evaluates the end of one load.
func (l *loadLimiter) record(now time.Time, end loadMeasurement) {
	if end.early {
		l.recordEarlyEnd()
		return
	}
	l.early = 0
	l.typicalLoadTime += time.Duration(smoothing * float64(end.took-l.typicalLoadTime))
	l.updateShortest(now, end.took)
	l.pollDelay = l.shortest * firstPollFifths / fifths
	l.recordMinTime(end.minTook)
	if len(l.recentMinTimes) == slowLoadCount && float64(slices.Min(l.recentMinTimes)) > slowFactor*float64(l.shortest) {
		l.decrease(now, end.parallelLoads)
		return
	}
	if float64(end.parallelLoads) >= minUsedShare*l.limit {
		l.increase()
	}
}

// recordEarlyEnd evaluates a load that had ended by its first poll.
func (l *loadLimiter) recordEarlyEnd() {
	l.early++
	if l.early < earlyEndCount {
		return
	}
	l.early = 0
	l.pollDelay = max(time.Duration(earlierPollFactor*float64(l.pollDelay)), l.shortest*minPollFifths/fifths)
}

// updateShortest updates the shortest load time, which grows with time.
func (l *loadLimiter) updateShortest(now time.Time, took time.Duration) {
	grown := l.shortest
	if now.After(l.shortestAt) && !l.shortestAt.IsZero() {
		grown += time.Duration(shortestTimeGrowth * now.Sub(l.shortestAt).Seconds() * float64(l.shortest))
	}
	l.shortest, l.shortestAt = min(took, grown), now
}

// recordMinTime records the minimum duration of a load. The observed duration would be misleading, because a planner
// that polls late observes each end late and would treat every load as slow.
func (l *loadLimiter) recordMinTime(minTook time.Duration) {
	l.recentMinTimes = append(l.recentMinTimes, minTook)
	if len(l.recentMinTimes) > slowLoadCount {
		l.recentMinTimes = l.recentMinTimes[1:]
	}
}

// decrease lowers the limit, once for loads that ran in parallel. If these loads took n times the shortest time, they
// were n times more than the store can serve at full speed, so the limit falls at once to what the store can serve.
// The initial search doubles the limit within the duration of one load; lowering it in steps afterwards would take a
// second or more.
func (l *loadLimiter) decrease(now time.Time, running int) {
	l.probing = false
	if now.Sub(l.lastBackOffAt) < l.typicalLoadTime {
		return
	}
	l.lastBackOffAt = now
	sustainable := float64(running) * slowFactor * float64(l.shortest) / float64(slices.Min(l.recentMinTimes))
	l.limit = max(minConcurrency, min(l.limit*backOffFactor, sustainable))
}

// increase raises the limit by one load in the time in which as many loads as the limit allows end; during the
// initial search it raises the limit by one for each load.
func (l *loadLimiter) increase() {
	step := 1 / l.limit
	if l.probing {
		step = probeStep
	}
	l.limit = min(maxConcurrency, l.limit+step)
}
