// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Bid is the most valuable load of a pool, for which it requests a permit.
type Bid struct {
	Adapter fleet.AdapterRef
	Value   float64
	// Preload is true if no request waits for the adapter.
	Preload bool
}

// BestBid returns the most valuable load of the pool, if any load is worth a permit.
func (p *Placer) BestBid(now time.Time) (Bid, bool) {
	if p.bid.valid && now.Sub(p.bid.computedAt) < bidCacheTTL {
		return p.bid.bid, p.bid.found
	}
	bid, _ := p.bestDemand(now)
	found := bid.Value > 0
	if !found {
		bid, _, found = p.bestPreload(now)
	}
	p.bid = cachedBid{bid: bid, found: found, computedAt: now, valid: true}
	return bid, found
}

// cachedBid is a bid that is valid until the state of the pool changes, for at most bidCacheTTL.
type cachedBid struct {
	bid        Bid
	found      bool
	computedAt time.Time
	valid      bool
}

// bidCacheTTL is how long a bid is reused while the state of the pool does not change. A longer time evaluates the demands less often, a
// shorter one reflects their age sooner.
const bidCacheTTL = 200 * time.Millisecond

// UsePermit uses a permit of the weight store for the load that is most valuable now. It
// returns false if no load is needed any more, so that the permit can be returned.
func (p *Placer) UsePermit(now time.Time) ([]Effect, bool) {
	bid, target := p.bestDemand(now)
	if bid.Value <= 0 {
		var ok bool
		bid, target, ok = p.bestPreload(now)
		if !ok {
			return p.takeEffects(), false
		}
	}
	if target.endpoint == nil {
		return p.takeEffects(), false
	}
	p.startLoad(now, bid, target)
	return p.takeEffects(), true
}

// demand is an adapter with waiting requests and the value of loading it.
type demand struct {
	ref   fleet.AdapterRef
	value float64
}

// bestDemand returns the most valuable load of an adapter with waiting requests. It computes
// the value of all of them but searches a slot only for the most valuable ones, since the
// search costs much more.
func (p *Placer) bestDemand(now time.Time) (Bid, loadTarget) {
	demands := p.demands(now)
	for len(demands) > 0 {
		best := 0
		for i, d := range demands {
			if d.value > demands[best].value || (d.value == demands[best].value && compareRefs(d.ref, demands[best].ref) < 0) {
				best = i
			}
		}
		d := demands[best]
		if target, ok := p.findLoadTarget(now, d.ref, math.Inf(1)); ok {
			return Bid{Adapter: d.ref, Value: d.value}, target
		}
		if a, ok := p.queue.Adapter(d.ref); ok {
			p.closeSlotFor(now, d.ref, a)
		}
		demands[best] = demands[len(demands)-1]
		demands = demands[:len(demands)-1]
		if p.noSlotAvailable(now) {
			return Bid{}, loadTarget{}
		}
	}
	return Bid{}, loadTarget{}
}

// noSlotAvailable reports whether no endpoint has a slot that is free or may be evicted, for any adapter.
func (p *Placer) noSlotAvailable(now time.Time) bool {
	for _, e := range p.endpoints {
		if !e.acceptsLoads(now) {
			continue
		}
		if _, ok := p.cheapestSlot(now, e); ok {
			return false
		}
	}
	return true
}

func (p *Placer) demands(now time.Time) []demand {
	out := p.demandBuffer[:0]
	for ref, a := range p.queue.Adapters() {
		if ref.IsZero() {
			continue
		}
		if value := p.demandValue(now, ref, a); value > 0 {
			out = append(out, demand{ref: ref, value: value})
		}
	}
	p.demandBuffer = out
	return out
}
