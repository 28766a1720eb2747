// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	// waitGrowth is the wait that doubles the value of a load, against starvation.
	waitGrowth       = 20 * time.Second
	horizon          = 30 * time.Second
	copyDiscount     = 0.25
	tenantLoadLife   = 30 * time.Second
	preloadMinRate   = 1e-4
	coldStartFactor  = 0.02
	preloadScanEvery = time.Second
)

// demandValue is the waiting that a load would remove: waiters by weight and the
// arrivals to expect, raised with the wait so that no one starves.
func (p *Placer) demandValue(now time.Time, ref fleet.AdapterRef, a *adapterQueue) float64 {
	if f, ok := p.failures[ref]; ok && now.Before(f.until) {
		return 0
	}
	wait := now.Sub(a.oldest)
	value := a.weight + p.popular.rate(now, ref)*horizon.Seconds()
	value *= 1 + wait.Seconds()/waitGrowth.Seconds()
	value /= 1 + p.tenantLoads(now, a)
	if len(p.copies[ref]) == 0 {
		return value
	}
	if !p.wantsCopy(now, ref, a) {
		return 0
	}
	return value * copyDiscount
}

// wantsCopy tells whether an adapter with copies deserves one more: its queue
// waits for a place, and no copy is on its way.
func (p *Placer) wantsCopy(now time.Time, ref fleet.AdapterRef, a *adapterQueue) bool {
	if a.count <= a.patient && now.Before(a.holdUntil) {
		return false
	}
	if now.Sub(a.oldest) < p.options.SecondCopyWait {
		return false
	}
	for _, e := range p.copies[ref] {
		s := e.slots[ref]
		if s.state != slotResident || s.closing || (e.takesWork() && e.free() > 0) {
			return false
		}
	}
	return true
}

// tenantLoads gives the recent loads made for the tenants that wait, the least of them.
func (p *Placer) tenantLoads(now time.Time, a *adapterQueue) float64 {
	least := math.Inf(1)
	for key := range a.lanes {
		least = math.Min(least, p.recentLoads(now, key.tenant))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func (p *Placer) recentLoads(now time.Time, tenant string) float64 {
	s, ok := p.loadShare[tenant]
	if !ok {
		return 0
	}
	dt := now.Sub(s.last).Seconds()
	return s.fast * math.Exp2(-dt/tenantLoadLife.Seconds())
}

func (p *Placer) countLoad(now time.Time, ref fleet.AdapterRef) {
	a, ok := p.queue.adapters[ref]
	if !ok {
		return
	}
	for key := range a.lanes {
		recent := p.recentLoads(now, key.tenant)
		p.loadShare[key.tenant] = &arrivalStat{fast: recent + 1/float64(len(a.lanes)), last: now}
	}
}
