// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// findPlace finds the slot whose loss costs least, below the given worth.
func (p *Placer) findPlace(now time.Time, ref fleet.AdapterRef, worth float64) (placeFor, bool) {
	var best placeFor
	found := false
	for _, e := range p.endpoints {
		if !e.takesLoads(now) || !e.spec.Serves(p.bases[ref]) || e.slots[ref] != nil || e.unloadPending(now, ref) {
			continue
		}
		place, ok := p.placeOn(now, e)
		if !ok || place.cost >= worth {
			continue
		}
		if !found || place.cost < best.cost || (place.cost == best.cost && emptier(place.endpoint, best.endpoint)) {
			best, found = place, true
		}
	}
	return best, found
}

// emptier compares two endpoints with equal cost: free slots first, then free places.
func emptier(a, b *endpointState) bool {
	if len(a.slots) != len(b.slots) {
		return len(a.slots) < len(b.slots)
	}
	return a.running < b.running
}

// placeOn finds the cheapest slot of one endpoint.
func (p *Placer) placeOn(now time.Time, e *endpointState) (placeFor, bool) {
	if len(e.slots) < e.spec.Slots {
		return placeFor{endpoint: e}, true
	}
	if !e.mayUnload(now) {
		return placeFor{}, false
	}
	best := placeFor{endpoint: e, cost: math.Inf(1)}
	for _, s := range e.slots {
		cost, ok := p.keepValue(now, e, s)
		if !ok {
			continue
		}
		if cost < best.cost || (cost == best.cost && s.adapter.String() < best.victim.adapter.String()) {
			best.cost, best.victim = cost, s
		}
	}
	return best, best.victim != nil
}

// keepValue is what it would cost to evict the slot; false where it must not be evicted.
func (p *Placer) keepValue(now time.Time, e *endpointState, s *slot) (float64, bool) {
	if s.state != slotResident || (e.inUse(s) && !p.options.EvictInUse) || p.pinned[s.adapter] {
		return 0, false
	}
	if a, ok := p.queue.Adapter(s.adapter); ok && !s.closing && (a.Urgent() || e.takesWork()) {
		return 0, false
	}
	rate := p.popular.Rate(now, s.adapter)
	if len(p.copies[s.adapter]) > 1 {
		rate *= copyDiscount
	}
	return rate, true
}

// makeRoom closes the least valuable busy slot to new work, so that it becomes free for ref.
func (p *Placer) makeRoom(now time.Time, ref fleet.AdapterRef, a *queue.Adapter) {
	if len(p.copies[ref]) > 0 || p.hasClosing() {
		return
	}
	var least *slot
	leastCost := math.Inf(1)
	for _, e := range p.endpoints {
		if !e.takesLoads(now) || !e.mayUnload(now) || !e.spec.Serves(p.bases[ref]) {
			continue
		}
		for _, s := range e.slots {
			if s.state != slotResident || p.pinned[s.adapter] || s.foreign {
				continue
			}
			cost := p.popular.Rate(now, s.adapter) * float64(1+e.using[s.adapter])
			if cost < leastCost || (cost == leastCost && s.adapter.String() < least.adapter.String()) {
				least, leastCost = s, cost
			}
		}
	}
	if least != nil && a.Urgent() {
		least.closing = true
	}
}

func (p *Placer) hasClosing() bool {
	for _, e := range p.endpoints {
		for _, s := range e.slots {
			if s.closing {
				return true
			}
		}
	}
	return false
}

// reopen takes back closings that nobody needs any more.
func (p *Placer) reopen(e *endpointState) {
	for ref := range p.queue.Adapters() {
		if len(p.copies[ref]) == 0 {
			return
		}
	}
	for _, s := range e.slots {
		s.closing = false
	}
}
