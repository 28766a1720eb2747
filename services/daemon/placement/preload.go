// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// bestPreload finds an adapter worth loading before anyone waits for it.
func (p *Placer) bestPreload(now time.Time) (Bid, placeFor, bool) {
	for _, ref := range p.preload {
		if len(p.copies[ref]) > 0 || p.backingOff(now, ref) {
			continue
		}
		if place, ok := p.findPlace(now, ref, math.Inf(1)); ok {
			return Bid{Adapter: ref, Value: 1, Preload: true}, place, true
		}
	}
	best := p.popularAbsent(now)
	if best.Value == 0 {
		return Bid{}, placeFor{}, false
	}
	place, ok := p.findPlace(now, best.Adapter, best.Value/p.options.PreloadGain)
	if !ok {
		return Bid{}, placeFor{}, false
	}
	best.Value *= coldStartFactor
	return best, place, true
}

// popularAbsent finds the adapter most called for that is not loaded; the scan of
// all known adapters is made once in a while, since it only serves idle permits.
func (p *Placer) popularAbsent(now time.Time) Bid {
	best := p.absent
	if now.Sub(p.absentAt) < preloadScanEvery {
		if len(p.copies[best.Adapter]) > 0 || p.backingOff(now, best.Adapter) {
			return Bid{}
		}
		return best
	}
	best = Bid{}
	for ref := range p.popular.stats {
		rate := p.popular.steady(now, ref)
		if rate < preloadMinRate || rate < best.Value || len(p.copies[ref]) > 0 || p.backingOff(now, ref) {
			continue
		}
		if rate == best.Value && ref.String() > best.Adapter.String() {
			continue
		}
		best = Bid{Adapter: ref, Value: rate, Preload: true}
	}
	p.absent, p.absentAt = best, now
	return best
}

func (p *Placer) backingOff(now time.Time, ref fleet.AdapterRef) bool {
	f, ok := p.failures[ref]
	return ok && now.Before(f.until)
}
