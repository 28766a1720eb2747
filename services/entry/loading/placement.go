// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// maxPendingLoads is how many loads may be in progress on one endpoint at once. A higher number fills a restarted
	// endpoint sooner and reserves more places for loads.
	maxPendingLoads = 2
	// heldBonus is the advantage, in endpoint time, of an endpoint that held the adapter before. A longer time loads
	// faster and spares the weight store; a shorter time distributes the work more evenly.
	heldBonus = 500 * time.Millisecond
	// placementHorizon is how far ahead the work of an endpoint's copies is counted in addition to its current
	// backlog. A longer time evens out the request rates; a shorter one evens out the queued prompts.
	placementHorizon = time.Second
	// copyWeight is the cost of each copy on an endpoint, in seconds, so that the emptier one of two endpoints with
	// the same work is chosen.
	copyWeight = 0.005
	// tieSpread is the upper bound of the random cost that breaks ties, in seconds.
	tieSpread = 0.002
	// searchPause is the pause, for each endpoint, after a search that found nothing to load; maxSearchPause is its
	// upper bound. A longer pause saves processor time in a large fleet and starts loads later.
	searchPause    = 400 * time.Microsecond
	maxSearchPause = 50 * time.Millisecond
	// warmPollDelay is the delay before the first poll of a load of an adapter that the endpoint held before. A
	// shorter delay wastes a call; a longer one leaves requests waiting.
	warmPollDelay = 30 * time.Millisecond
	// defaultVersion is the version number of an adapter until the configuration names another one.
	defaultVersion = 1
)

// placement is a possible load.
type placement struct {
	adapter deployment.Adapter
	destination
	// value is in requests served.
	value float64
}

// destination is the endpoint of a load.
type destination struct {
	plan *endpointPlan
	// cold is set if the adapter is loaded from the weight store.
	cold bool
}

// nextLoad orders the most valuable load.
func (p *Planner) nextLoad(now time.Time) (Order, bool) {
	if now.Before(p.nextSearchAt) {
		return Order{}, false
	}
	p.countCopies()
	best, found := p.bestPlacement(now, p.coldLoads() < p.loadLimiter.maxLoads())
	p.withdrawOutdated(now)
	p.ensureSparePlaces(now)
	if !found {
		p.nextSearchAt = now.Add(min(maxSearchPause, time.Duration(len(p.endpoints))*searchPause))
		return Order{}, false
	}
	p.recentLoadStarts = append(p.recentLoadStarts, now)
	order := p.order(Load, best.plan, best.adapter)
	duration := warmPollDelay
	if best.cold {
		duration = p.loadLimiter.firstPollDelay()
	}
	best.plan.copies[best.adapter] = &copyPlan{
		state: copyLoading, since: now, cold: best.cold, startKnown: true, pollAt: now.Add(duration), version: max(defaultVersion, p.demandFor(now, best.adapter).version),
	}
	return order, true
}

// bestPlacement returns the most valuable load that can start now; coldAllowed reports whether it may come from the
// weight store.
func (p *Planner) bestPlacement(now time.Time, coldAllowed bool) (placement, bool) {
	distribution := p.distributeWork(now)
	var best placement
	for adapter, known := range p.demand {
		known.decay(now)
		value := p.copyNeed(now, adapter, known, distribution).Value()
		best = p.betterPlacement(now, best, wantedCopy{adapter: adapter}, value, distribution, coldAllowed)
	}
	for wanted, known := range p.pinned {
		best = p.betterPlacement(now, best, wanted, p.pinnedValue(now, known), distribution, coldAllowed)
	}
	return best, best.plan != nil
}

// betterPlacement returns a load of the wanted copy if it can start now and has a higher value than the best load so far,
// and that load otherwise.
func (p *Planner) betterPlacement(now time.Time, best placement, wanted wantedCopy, value float64, distribution *workDistribution, coldAllowed bool) placement {
	if value <= best.value || p.loadHeldBack(now, wanted.adapter, p.wantedVersion(wanted.adapter)) {
		return best
	}
	chosen, ok := p.chooseEndpoint(now, wanted, distribution, coldAllowed)
	if !ok {
		return best
	}
	return placement{adapter: wanted.adapter, destination: chosen, value: value}
}

// chooseEndpoint returns the endpoint with a free place and the lowest cost. It prefers an endpoint that held the
// adapter before, because the load takes a tenth of the time there and does not use the weight store. If such an
// endpoint may become available soon, it returns none rather than an endpoint that would load from the weight store.
func (p *Planner) chooseEndpoint(now time.Time, wanted wantedCopy, distribution *workDistribution, coldAllowed bool) (destination, bool) {
	var best destination
	bestCost, warmSoon := 0.0, false
	for id, plan := range p.endpoints {
		_, warm := plan.previouslyHeld[wanted.adapter]
		if !plan.isEligibleFor(wanted, warm) {
			continue
		}
		if !p.canOrderLoad(now, plan) {
			warmSoon = warmSoon || (warm && plan.mayBecomeAvailableSoon(now))
			continue
		}
		if !warm && !coldAllowed {
			continue
		}
		promised := p.pendingReadTime(now, plan)
		cost := DestinationFactors{
			Backlog: plan.backlog + promised, Work: distribution.byEndpoint[id], Copies: len(plan.copies), HeldBefore: warm, TieBreak: p.options.Random(),
		}.Cost()
		if best.plan == nil || cost < bestCost {
			best, bestCost = destination{plan: plan, cold: !warm}, cost
		}
	}
	if best.cold && warmSoon {
		return destination{}, false
	}
	return best, best.plan != nil
}

// DestinationFactors describe an endpoint that can take a load, for the choice between endpoints.
type DestinationFactors struct {
	// Backlog is the time to read the prompts that are queued at the endpoint or wait for loads in progress there.
	Backlog time.Duration
	// Work is the share of the endpoint's time that the requests of its copies take, in seconds a second, from the
	// instances' reports.
	Work float64
	// Copies is the number of adapters that the endpoint holds or will hold according to the plan.
	Copies int
	// HeldBefore reports whether the endpoint held the adapter before, according to the plan or the directory.
	HeldBefore bool
	// TieBreak is a random number in [0, 1).
	TieBreak float64
}

// Cost returns the cost of a load to the endpoint, in seconds of endpoint time. The endpoint with the lowest cost is
// chosen.
func (f DestinationFactors) Cost() float64 {
	cost := f.Backlog.Seconds() + placementHorizon.Seconds()*f.Work + copyWeight*float64(f.Copies) + tieSpread*f.TieBreak
	if f.HeldBefore {
		cost -= heldBonus.Seconds()
	}
	return cost
}

// pendingReadTime returns the time an endpoint needs to read the prompts of the requests that wait for loads in
// progress there.
func (p *Planner) pendingReadTime(now time.Time, plan *endpointPlan) time.Duration {
	seconds := 0.0
	for adapter, c := range plan.copies {
		if known, ok := p.demand[adapter]; ok && c.state == copyLoading {
			waiting, _ := known.waiting.count(now, 0)
			seconds += float64(waiting) * known.meanReadTime(now, plan.speed.PerSecond()).Seconds()
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// canOrderLoad reports whether a load may be ordered from an endpoint now: it is available without inspection, has a
// free place and fewer than maxPendingLoads loads, and no unload is in progress.
func (p *Planner) canOrderLoad(now time.Time, plan *endpointPlan) bool {
	if !plan.availableWithoutInspection(now) {
		return false
	}
	plan.pruneUnansweredLoads(now)
	return plan.occupiedPlaces() < p.capacity(&plan.endpoint) && plan.pendingLoads() < maxPendingLoads && !plan.hasPendingUnload()
}

// mayBecomeAvailableSoon reports whether an endpoint that cannot accept a load now probably can shortly.
func (e *endpointPlan) mayBecomeAvailableSoon(now time.Time) bool {
	outgoing, _ := e.outgoing()
	return !now.Before(e.unresponsiveUntil) && (outgoing > 0 || e.orderInFlight || e.pendingLoads() > 0)
}

// isEligibleFor reports whether a wanted copy may be loaded on an endpoint. A nearly saturated endpoint is eligible only
// for adapters that it held before, because loading them does not use the weight store. A copy for requests that only the
// endpoint's software may run needs an endpoint that still takes these requests.
func (e *endpointPlan) isEligibleFor(wanted wantedCopy, warm bool) bool {
	_, has := e.copies[wanted.adapter]
	if has || e.suspect || e.endpoint.State != deployment.Ready || !e.endpoint.HasModel(wanted.adapter.Model) {
		return false
	}
	if wanted.software != "" {
		return e.endpoint.Software == wanted.software && !e.full
	}
	return !e.saturated && (warm || !e.nearlySaturated)
}

// coldLoads returns the number of loads in progress from the weight store.
func (p *Planner) coldLoads() int {
	count := 0
	for _, plan := range p.endpoints {
		for _, c := range plan.copies {
			if c.state == copyLoading && c.cold {
				count++
			}
		}
	}
	return count
}
