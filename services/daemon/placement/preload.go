// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	// minPreloadRate is the minimum slow rate, in weighted arrivals per second, of an adapter that is loaded before a request waits for it: one
	// arrival in about three hours. A lower rate spends idle permits on adapters that are rarely requested.
	minPreloadRate = 1e-4
	// preloadBidFactor converts the rate of an adapter into the value of the bid for its preload, so that a preload never precedes a load for
	// which requests wait.
	preloadBidFactor = 0.02
	// requestedPreloadValue is the value of the bid for a preload that an operator requested. It exceeds that of any adapter with fewer than 50
	// weighted arrivals per second.
	requestedPreloadValue = 1
	// preloadScanInterval is the time between two scans of all known adapters for a preload. A longer interval finds one later; a shorter one
	// costs processor time proportional to the number of adapters.
	preloadScanInterval = time.Second
)

// bestPreload returns the best load of an adapter for which no request waits. Preloads requested by operators come first.
func (p *Placer) bestPreload(now time.Time) (Bid, loadTarget, bool) {
	for _, ref := range p.requestedPreloads {
		if len(p.copies[ref]) > 0 || p.failures.Delayed(now, ref) {
			continue
		}
		if target, ok := p.findLoadTarget(now, ref, math.Inf(1)); ok {
			return Bid{Adapter: ref, Value: requestedPreloadValue, Preload: true}, target, true
		}
	}
	best := p.mostPopularAbsent(now)
	if best.Value == 0 {
		return Bid{}, loadTarget{}, false
	}
	target, ok := p.findLoadTarget(now, best.Adapter, best.Value/p.options.PreloadGain)
	if !ok {
		return Bid{}, loadTarget{}, false
	}
	best.Value *= preloadBidFactor
	return best, target, true
}

// mostPopularAbsent returns the adapter with the highest slow rate that is not loaded. All
// known adapters are scanned once per preloadScanInterval only, since the result is used only
// for idle permits.
func (p *Placer) mostPopularAbsent(now time.Time) Bid {
	best := p.preloadCandidate
	if now.Sub(p.preloadScannedAt) < preloadScanInterval {
		if len(p.copies[best.Adapter]) > 0 || p.failures.Delayed(now, best.Adapter) {
			return Bid{}
		}
		return best
	}
	best = p.scanForPreload(now)
	p.preloadCandidate, p.preloadScannedAt = best, now
	return best
}

// scanForPreload returns the adapter with the highest slow rate among all known adapters that are not loaded, the first by name among equals.
func (p *Placer) scanForPreload(now time.Time) Bid {
	var best fleet.AdapterRef
	bestRank := math.Inf(-1)
	for ref, rank := range p.arrivalRates.SlowRanks() {
		if rank < bestRank || (rank == bestRank && ref.String() > best.String()) {
			continue
		}
		if len(p.copies[ref]) > 0 || p.failures.Delayed(now, ref) {
			continue
		}
		best, bestRank = ref, rank
	}
	rate := p.arrivalRates.SlowRate(now, best)
	if rate < minPreloadRate {
		return Bid{}
	}
	return Bid{Adapter: best, Value: rate, Preload: true}
}
