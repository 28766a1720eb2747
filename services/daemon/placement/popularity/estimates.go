// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package popularity

import (
	"iter"
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/sizelimit"
)

// minRate is the rate in weighted arrivals per second below which an adapter is dropped: one arrival in 116 days. A higher rate frees memory
// sooner but drops adapters that were requested only once.
const minRate = 1e-7

// maxAdapters is the number of adapters above which those with the lowest slow rates are dropped. A higher limit preloads more of the adapters
// that are rarely requested, a lower one uses less memory and ends a scan sooner.
const maxAdapters = 32768

// Options configures the estimates.
type Options struct {
	// FastHalfLife and SlowHalfLife are the half-lives of the two rates.
	FastHalfLife, SlowHalfLife time.Duration
	// SlowWeight multiplies the slow rate before it is compared with the fast one.
	SlowWeight float64
}

// Estimates holds a fast and a slow arrival rate for each adapter, weighted by stall weight.
type Estimates struct {
	// fastMeanLife and slowMeanLife are the time constants of the decay, in seconds.
	fastMeanLife, slowMeanLife float64
	slowWeight                 float64
	rates                      map[fleet.AdapterRef]*rates
	limit                      sizelimit.Limit
	// origin is the time of the first arrival, from which the ranks count.
	origin time.Time
}

// rates are in weighted arrivals per second, as of updatedAt.
type rates struct {
	fast, slow float64
	updatedAt  time.Time
	// slowRank orders the slow rates of all adapters at the same time. It changes with an arrival only, since all slow rates decay alike.
	slowRank float64
}

// New returns estimates without arrivals.
func New(o Options) *Estimates {
	return &Estimates{
		fastMeanLife: o.FastHalfLife.Seconds() / math.Ln2,
		slowMeanLife: o.SlowHalfLife.Seconds() / math.Ln2,
		slowWeight:   o.SlowWeight,
		rates:        make(map[fleet.AdapterRef]*rates),
		limit:        sizelimit.New(maxAdapters),
	}
}

// Add counts an arrival of the given weight.
func (e *Estimates) Add(now time.Time, ref fleet.AdapterRef, weight float64) {
	if e.origin.IsZero() {
		e.origin = now
	}
	r, ok := e.rates[ref]
	if !ok {
		r = &rates{updatedAt: now}
		e.rates[ref] = r
	}
	e.decay(now, r)
	r.fast += weight / e.fastMeanLife
	r.slow += weight / e.slowMeanLife
	r.slowRank = math.Log(r.slow)*e.slowMeanLife + r.updatedAt.Sub(e.origin).Seconds()
	if e.limit.Exceeded(len(e.rates)) {
		sizelimit.Reduce(&e.limit, e.rates, func(_ fleet.AdapterRef, r *rates) (float64, bool) { return r.slowRank, true })
	}
}

// decay updates the rates to the given time. A time before the last update leaves them unchanged.
func (e *Estimates) decay(now time.Time, r *rates) {
	dt := now.Sub(r.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	r.fast *= math.Exp(-dt / e.fastMeanLife)
	r.slow *= math.Exp(-dt / e.slowMeanLife)
	r.updatedAt = now
}

// Rate returns the expected weighted arrivals per second: the larger of the two rates, so that
// a rise takes effect immediately and a short pause does not reduce the rate to zero.
func (e *Estimates) Rate(now time.Time, ref fleet.AdapterRef) float64 {
	r, ok := e.rates[ref]
	if !ok {
		return 0
	}
	e.decay(now, r)
	return math.Max(r.fast, e.slowWeight*r.slow)
}

// SlowRate returns the slow rate, in weighted arrivals per second.
func (e *Estimates) SlowRate(now time.Time, ref fleet.AdapterRef) float64 {
	r, ok := e.rates[ref]
	if !ok {
		return 0
	}
	e.decay(now, r)
	return r.slow
}

// SlowRanks returns all recorded adapters in no particular order, each with a number that is higher for a higher slow rate. It costs much less
// than the rates of all adapters.
func (e *Estimates) SlowRanks() iter.Seq2[fleet.AdapterRef, float64] {
	return func(yield func(fleet.AdapterRef, float64) bool) {
		for ref, r := range e.rates {
			if !yield(ref, r.slowRank) {
				return
			}
		}
	}
}

// Contains reports whether the adapter has recorded rates.
func (e *Estimates) Contains(ref fleet.AdapterRef) bool {
	_, ok := e.rates[ref]
	return ok
}

// Prune drops adapters whose rates have decayed below minRate, which limits the memory.
func (e *Estimates) Prune(now time.Time) {
	for ref, r := range e.rates {
		e.decay(now, r)
		if r.fast < minRate && r.slow < minRate {
			delete(e.rates, ref)
		}
	}
}
