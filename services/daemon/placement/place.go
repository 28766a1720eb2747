// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// findLoadTarget returns the slot with the lowest eviction cost on any endpoint that can load the adapter, if that cost is below maxCost.
func (p *Placer) findLoadTarget(now time.Time, ref fleet.AdapterRef, maxCost float64) (loadTarget, bool) {
	var best loadTarget
	found := false
	for _, e := range p.endpoints {
		if !e.acceptsLoads(now) || !e.spec.Serves(p.baseByAdapter[ref]) || e.slots[ref] != nil || e.unloadPending(now, ref) {
			continue
		}
		target, ok := p.cheapestSlot(now, e)
		if !ok || target.cost >= maxCost {
			continue
		}
		if !found || target.cost < best.cost || (target.cost == best.cost && lessLoaded(target.endpoint, best.endpoint)) {
			best, found = target, true
		}
	}
	return best, found
}

// lessLoaded reports whether endpoint a is preferred at equal eviction cost: by used slots, then by running requests.
func lessLoaded(a, b *endpointState) bool {
	if len(a.slots) != len(b.slots) {
		return len(a.slots) < len(b.slots)
	}
	return a.running < b.running
}

// cheapestSlot returns the slot of an endpoint with the lowest eviction cost; a free slot costs nothing. It returns false if no
// slot is free or may be evicted.
func (p *Placer) cheapestSlot(now time.Time, e *endpointState) (loadTarget, bool) {
	if len(e.slots) < e.spec.Slots {
		return loadTarget{endpoint: e}, true
	}
	if !e.mayUnload(now) {
		return loadTarget{}, false
	}
	best := loadTarget{endpoint: e, cost: math.Inf(1)}
	for _, s := range e.slots {
		cost, ok := p.evictionCost(now, e, s)
		if !ok {
			continue
		}
		if cost < best.cost || (cost == best.cost && s.adapter.String() < best.victim.adapter.String()) {
			best.cost, best.victim = cost, s
		}
	}
	return best, best.victim != nil
}

// evictionCost returns the cost of evicting the slot, or false if it must not be evicted.
func (p *Placer) evictionCost(now time.Time, e *endpointState, s *slot) (float64, bool) {
	if s.state != slotResident || (e.inUse(s) && !p.options.EvictInUse) || p.pinned[s.adapter] {
		return 0, false
	}
	if a, ok := p.queue.Adapter(s.adapter); ok && !s.closing && (a.HasInteractive() || e.acceptsRequests()) {
		return 0, false
	}
	rate := p.arrivalRates.Rate(now, s.adapter)
	if len(p.copies[s.adapter]) > 1 {
		rate *= extraCopyFactor
	}
	return rate, true
}

// closeSlotFor closes the least valuable busy slot to new requests, so that it can be evicted for ref.
func (p *Placer) closeSlotFor(now time.Time, ref fleet.AdapterRef, a *queue.Adapter) {
	if len(p.copies[ref]) > 0 || p.anySlotClosing() {
		return
	}
	var least *slot
	leastCost := math.Inf(1)
	for _, e := range p.endpoints {
		if !e.acceptsLoads(now) || !e.mayUnload(now) || !e.spec.Serves(p.baseByAdapter[ref]) {
			continue
		}
		for _, s := range e.slots {
			if s.state != slotResident || p.pinned[s.adapter] || s.foreign {
				continue
			}
			cost := p.arrivalRates.Rate(now, s.adapter) * float64(1+e.ticketsByAdapter[s.adapter])
			if cost < leastCost || (cost == leastCost && s.adapter.String() < least.adapter.String()) {
				least, leastCost = s, cost
			}
		}
	}
	if least != nil && a.HasInteractive() {
		least.closing = true
	}
}

func (p *Placer) anySlotClosing() bool {
	for _, e := range p.endpoints {
		for _, s := range e.slots {
			if s.closing {
				return true
			}
		}
	}
	return false
}

// reopenSlots reopens the closed slots of an endpoint once every adapter with waiting requests has a copy.
func (p *Placer) reopenSlots(e *endpointState) {
	for ref := range p.queue.Adapters() {
		if len(p.copies[ref]) == 0 {
			return
		}
	}
	for _, s := range e.slots {
		s.closing = false
	}
}
