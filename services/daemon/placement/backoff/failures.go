// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package backoff

import (
	"hash/fnv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/sizelimit"
)

const (
	// maxDoublings limits the exponent of the delay before Max is applied, so that the product does not overflow a time.Duration.
	maxDoublings = 9
	// minJitter and jitterSteps spread the delays of different adapters over 0.5 to 1.5 times the nominal delay, so that their loads are not
	// retried, and do not fail, at the same time again.
	minJitter   = 0.5
	jitterSteps = 1000
	// failureRetention is how long the failures of an adapter still count after the end of its delay if no load is tried. A longer time
	// saves the weight store loads that are likely to fail, a shorter one frees memory sooner. While requests wait for the adapter, a load
	// is tried at least once per Max.
	failureRetention = time.Hour
	// maxFailures is the number of adapters above which those are dropped whose delay ended first. An adapter whose next load is still
	// delayed is kept. A higher limit saves the weight store more loads that are likely to fail, a lower one uses less memory and ends a
	// scan sooner.
	maxFailures = 16384
)

// Options configures the delay after failed loads.
type Options struct {
	// Base is the delay after the first failure. It doubles with each further failure, up to Max.
	Base, Max time.Duration
	// GiveUp is the number of failures after which waiting requests are refused.
	GiveUp int
}

// Failure is the backoff state of an adapter whose last load failed.
type Failure struct {
	// Count is the number of failures since the last success, or since Prune dropped the adapter.
	Count int
	// RetryAt is when the next load may start.
	RetryAt time.Time
}

// Failures records the adapters whose last load failed, until Prune drops them.
type Failures struct {
	options   Options
	byAdapter map[fleet.AdapterRef]Failure
	limit     sizelimit.Limit
}

// New returns an empty record of failures.
func New(o Options) *Failures {
	return &Failures{options: o, byAdapter: make(map[fleet.AdapterRef]Failure), limit: sizelimit.New(maxFailures)}
}

// RecordFailure counts a failed load and returns the adapter's new state.
func (f *Failures) RecordFailure(now time.Time, ref fleet.AdapterRef) Failure {
	failure := f.byAdapter[ref]
	failure.Count++
	doublings := min(failure.Count-1, maxDoublings)
	wait := float64(f.options.Base) * float64(int64(1)<<doublings) * jitterFactor(ref, failure.Count)
	failure.RetryAt = now.Add(min(time.Duration(wait), f.options.Max))
	f.byAdapter[ref] = failure
	if f.limit.Exceeded(len(f.byAdapter)) {
		f.dropEarliest(now)
	}
	return failure
}

// dropEarliest drops the adapters whose delay ended first.
func (f *Failures) dropEarliest(now time.Time) {
	sizelimit.Reduce(&f.limit, f.byAdapter, func(_ fleet.AdapterRef, failure Failure) (float64, bool) {
		return -now.Sub(failure.RetryAt).Seconds(), !now.Before(failure.RetryAt)
	})
}

// RecordSuccess drops an adapter's failures after a successful load.
func (f *Failures) RecordSuccess(ref fleet.AdapterRef) {
	delete(f.byAdapter, ref)
}

// Prune drops the adapters of which no load has been tried for failureRetention after their delay, which limits the memory.
func (f *Failures) Prune(now time.Time) {
	for ref, failure := range f.byAdapter {
		if now.Sub(failure.RetryAt) > failureRetention {
			delete(f.byAdapter, ref)
		}
	}
}

// Delayed reports whether the next load of an adapter is still delayed.
func (f *Failures) Delayed(now time.Time, ref fleet.AdapterRef) bool {
	return now.Before(f.byAdapter[ref].RetryAt)
}

// GivenUp reports whether the number of failures has reached GiveUp, so that waiting requests are refused.
func (f *Failures) GivenUp(failure Failure) bool {
	return failure.Count >= f.options.GiveUp
}

// Refuses reports whether new requests for an adapter are refused, and for how much longer:
// the adapter was given up and its next load is still delayed.
func (f *Failures) Refuses(now time.Time, ref fleet.AdapterRef) (time.Duration, bool) {
	failure, ok := f.byAdapter[ref]
	if !ok || !f.GivenUp(failure) || !now.Before(failure.RetryAt) {
		return 0, false
	}
	return failure.RetryAt.Sub(now), true
}

// jitterFactor returns the factor that is applied to the delay of an adapter. It is derived from a hash, so that it needs no random source.
func jitterFactor(ref fleet.AdapterRef, count int) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(ref.Name)) // Writing to a hash never returns an error.
	_, _ = h.Write([]byte{byte(count)})
	return minJitter + float64(h.Sum32()%jitterSteps)/jitterSteps
}
