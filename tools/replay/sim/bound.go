// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"math"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// boundCalc gives lower bounds on the load stalls of any online policy that refuses
// nothing, under the same model; the better of two counts.
//
// First calls: a policy learns an adapter's name from its first call. Nobody can have
// the adapter resident sooner than the fastest load after that, so that every call within
// that time waits for the rest of it, or until its caller stops waiting.
//
// Windows, which hold for policies that know the future too: in a window from s, an endpoint's slots hold at most S adapters of a base at s,
// and the weight store can complete only so many loads by u. If more different
// adapters than both together have been called for in the window by u, the rest
// are not resident, and all their callers since s still wait at u. Whichever they
// are, they weigh at least as much as the lightest ones. The integral over u is a
// bound for the window; windows that do not overlap add up, and the best cut of
// the trace into windows is found by dynamic programming.
type boundCalc struct {
	fleet   *FleetFile
	weights map[string]float64
	lines   []Line
	grid    time.Duration
	end     time.Duration
	rates   []rateChange
}

// rateChange is a span in which the store's rate differs.
type rateChange struct {
	from  time.Duration
	until time.Duration
	rate  float64
}

const (
	boundGridCells = 1200
	boundMaxWindow = 240
	boundLeastGrid = 500 * time.Millisecond
)

func newBoundCalc(f *FleetFile, lines []Line) *boundCalc {
	b := &boundCalc{fleet: f, weights: make(map[string]float64)}
	for _, c := range f.Classes {
		b.weights[c.Name] = c.StallWeight
	}
	for _, l := range lines {
		at := milliseconds(l.AtMS)
		b.end = max(b.end, at)
		switch l.Event {
		case StoreRate:
			b.rates = append(b.rates, rateChange{from: at, until: milliseconds(l.UntilMS), rate: l.Rate})
		case "":
			b.lines = append(b.lines, l)
		}
	}
	b.grid = max(boundLeastGrid, b.end/boundGridCells)
	return b
}

// value gives the bound on the sum of stall x weight, in milliseconds, with each
// request's weight taken from weigh.
func (b *boundCalc) value(weigh func(Line) float64) float64 {
	cells := int(b.end/b.grid) + 2
	best := make([]float64, cells+1)
	first := make([]int, cells+1)
	at := 0
	for i := range first {
		for at < len(b.lines) && milliseconds(b.lines[at].AtMS) < time.Duration(i)*b.grid {
			at++
		}
		first[i] = at
	}
	for s := 0; s < cells; s++ {
		best[s+1] = math.Max(best[s+1], best[s])
		if first[s] == first[min(s+1, cells)] {
			continue
		}
		gains := b.window(s, cells, first, weigh)
		for k, gain := range gains {
			to := s + k + 1
			best[to] = math.Max(best[to], best[s]+gain)
		}
	}
	return best[cells]
}

// pending is an adapter called for in a window and the callers that still wait.
type pending struct {
	weight  float64
	expires []expiry
}

type expiry struct {
	at     float64
	weight float64
}

// window gives, for each end, the bound of the window that begins at cell s.
func (b *boundCalc) window(s, cells int, first []int, weigh func(Line) float64) []float64 {
	slots := b.slots()
	called := make(map[fleet.AdapterRef]*pending)
	var gains []float64
	sum := 0.0
	from := time.Duration(s) * b.grid
	for k := 0; k < boundMaxWindow && s+k < cells; k++ {
		// What is called for in a cell counts as waiting only from the cell's end.
		sum += b.unserved(called, from, time.Duration(s+k)*b.grid, slots) * float64(b.grid) / perMillisecond
		gains = append(gains, sum)
		for _, l := range b.lines[first[s+k]:first[min(s+k+1, len(first)-1)]] {
			b.call(called, l, weigh)
		}
	}
	return gains
}

func (b *boundCalc) call(called map[fleet.AdapterRef]*pending, l Line, weigh func(Line) float64) {
	ref := fleet.AdapterRef{Name: l.Adapter, Version: l.Version}
	p := called[ref]
	if p == nil {
		p = &pending{}
		called[ref] = p
	}
	w := weigh(l)
	p.weight += w
	if l.DeadlineMS > 0 {
		p.expires = append(p.expires, expiry{at: l.AtMS + l.DeadlineMS, weight: w})
	}
}

// unserved gives the weight that certainly waits through the cell that begins at u.
func (b *boundCalc) unserved(called map[fleet.AdapterRef]*pending, from, u time.Duration, slots int) float64 {
	end := u + b.grid
	served := slots + b.completed(from, end)
	missing := len(called) - served
	if missing <= 0 {
		return 0
	}
	weights := make([]float64, 0, len(called))
	endMS := float64(end) / perMillisecond
	for _, p := range called {
		w := p.weight
		for _, x := range p.expires {
			if x.at < endMS {
				w -= x.weight
			}
		}
		weights = append(weights, math.Max(0, w))
	}
	slices.Sort(weights)
	sum := 0.0
	for _, w := range weights[:missing] {
		sum += w
	}
	return sum
}

// completed gives the most loads that can end in a span: those under way at its
// beginning, and then as the rate of starts and the full speed allow.
func (b *boundCalc) completed(from, to time.Duration) int {
	starts := b.startsIn(from, to) + 1
	load := b.fastestLoad()
	bySpeed := math.Floor(float64(b.fleet.WeightStore.AtFullSpeed)*float64(to-from)/float64(load)) + float64(b.fleet.WeightStore.AtFullSpeed)
	return int(math.Min(starts+float64(b.fleet.WeightStore.AtFullSpeed), bySpeed))
}

func (b *boundCalc) startsIn(from, to time.Duration) float64 {
	sum := b.fleet.WeightStore.LoadsPerSecond * (to - from).Seconds()
	for _, r := range b.rates {
		span := (min(to, r.until) - max(from, r.from)).Seconds()
		if span > 0 {
			sum += (r.rate - b.fleet.WeightStore.LoadsPerSecond) * span
		}
	}
	return sum
}

func (b *boundCalc) fastestLoad() time.Duration {
	fastest := time.Duration(math.MaxInt64)
	for _, e := range b.fleet.Endpoints {
		fastest = min(fastest, milliseconds(e.LoadMS))
	}
	return fastest
}

func (b *boundCalc) slots() int {
	sum := 0
	for _, e := range b.fleet.Endpoints {
		sum += e.Slots
	}
	return sum
}

// bound gives a result whose stalls are lower bounds and whose other figures are empty.
func bound(f *FleetFile, lines []Line) Result {
	b := newBoundCalc(f, lines)
	out := Result{Policy: "bound", ByClass: make(map[string]Group), Violations: map[string]int{}}
	out.Requests = len(b.lines)
	if out.Requests == 0 {
		return out
	}
	count := float64(out.Requests)
	out.WeightedMean = b.best(func(l Line) float64 { return b.weights[l.Class] }) / count
	out.LoadStall.Mean = b.best(func(Line) float64 { return 1 }) / count
	return out
}

func (b *boundCalc) best(weigh func(Line) float64) float64 {
	return math.Max(b.value(weigh), b.firstCalls(weigh))
}

// firstCalls adds up the waits that not knowing the names makes certain.
func (b *boundCalc) firstCalls(weigh func(Line) float64) float64 {
	load := float64(b.fastestLoad()) / perMillisecond
	first := make(map[fleet.AdapterRef]float64)
	sum := 0.0
	for _, l := range b.lines {
		ref := fleet.AdapterRef{Name: l.Adapter, Version: l.Version}
		begun, known := first[ref]
		if !known {
			begun = l.AtMS
			first[ref] = begun
		}
		wait := math.Max(0, begun+load-l.AtMS)
		if l.DeadlineMS > 0 {
			wait = math.Min(wait, l.DeadlineMS)
		}
		sum += wait * weigh(l)
	}
	return sum
}
