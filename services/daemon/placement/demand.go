// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

const (
	// waitDoubling is the waiting time that doubles the value of a load, which prevents starvation. A longer time favors popular adapters, a
	// shorter one the order of arrival.
	waitDoubling = 20 * time.Second
	// arrivalHorizon is the time over which expected arrivals add to the value of a load. A longer time favors popular adapters, a shorter one
	// those with waiting requests.
	arrivalHorizon = 30 * time.Second
	// extraCopyFactor is the value of another copy relative to that of the first. A higher factor uses more permits and slots for adapters that
	// are already loaded on an endpoint.
	extraCopyFactor = 0.25
)

// demandValue returns the value of loading an adapter: the stall weight of the waiting
// requests and of the expected arrivals, raised with the waiting time to prevent starvation
// and lowered by the recent loads of the customers that wait.
func (p *Placer) demandValue(now time.Time, ref fleet.AdapterRef, a *queue.Adapter) float64 {
	if p.failures.Delayed(now, ref) {
		return 0
	}
	wait := now.Sub(a.OldestQueued())
	value := a.Weight() + p.arrivalRates.Rate(now, ref)*arrivalHorizon.Seconds()
	value *= 1 + wait.Seconds()/waitDoubling.Seconds()
	value /= 1 + p.minRecentLoads(now, a)
	if len(p.copies[ref]) == 0 {
		return value
	}
	if !p.wantsCopy(now, ref, a) {
		return 0
	}
	return value * extraCopyFactor
}

// wantsCopy reports whether an adapter that is already loaded should be loaded once more:
// its oldest request has waited for SecondCopyWait, every copy is resident and none has a
// free place. It returns false while all waiting requests are patient and still held back.
func (p *Placer) wantsCopy(now time.Time, ref fleet.AdapterRef, a *queue.Adapter) bool {
	if !a.HasInteractive() && now.Before(a.HoldUntil()) {
		return false
	}
	if now.Sub(a.OldestQueued()) < p.options.SecondCopyWait {
		return false
	}
	for _, e := range p.copies[ref] {
		s := e.slots[ref]
		if s.state != slotResident || s.closing || (e.acceptsRequests() && e.freePlaces() > 0) {
			return false
		}
	}
	return true
}

// minRecentLoads returns the lowest count of recent loads among the customers that wait for the adapter.
func (p *Placer) minRecentLoads(now time.Time, a *queue.Adapter) float64 {
	least := math.Inf(1)
	for customer := range a.Customers() {
		least = math.Min(least, p.loadsByCustomer.current(now, customer))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// recordLoad divides a load among the customers that wait for it.
func (p *Placer) recordLoad(now time.Time, ref fleet.AdapterRef) {
	a, ok := p.queue.Adapter(ref)
	if !ok {
		return
	}
	for customer := range a.Customers() {
		p.loadsByCustomer.add(now, customer, 1/float64(a.LaneCount()))
	}
}
