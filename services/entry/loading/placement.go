// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// maxPending is how many loads may be under way to one endpoint at once. More fills a restarted endpoint sooner and keeps more places
	// for loads.
	maxPending = 2
	// heldBonus is what an endpoint that held the adapter before is worth in the choice of an endpoint, in its time. Longer loads faster
	// and spares the weight store, shorter spreads the work more evenly.
	heldBonus = 500 * time.Millisecond
	// placementSpan is how far ahead the work of an endpoint's copies counts beside what waits there now. Longer evens out the rates,
	// shorter the prompts that wait.
	placementSpan = time.Second
	// copyWeight is what each copy on an endpoint weighs in that choice, in seconds: among endpoints with the same work the emptier one is
	// taken.
	copyWeight = 0.005
	// tieSpread is the width of the random number that breaks ties in that choice, in seconds.
	tieSpread = 0.002
	// searchPause is, for each endpoint, the pause after a search that found nothing to load, and longestSearchPause bounds it. Longer
	// saves processor time in a large fleet and begins loads later.
	searchPause        = 400 * time.Microsecond
	longestSearchPause = 50 * time.Millisecond
	// warmLoadTime is when to ask first about a load of an adapter that the endpoint held before. Sooner wastes a call, later leaves
	// requests waiting.
	warmLoadTime = 30 * time.Millisecond
	// firstVersion is an adapter's version, a count, before another one is named by the configuration.
	firstVersion = 1
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
	// cold says that the adapter comes from the weight store.
	cold bool
}

// nextLoad starts the most valuable load.
func (p *Planner) nextLoad(now time.Time) (Order, bool) {
	if now.Before(p.searchAt) {
		return Order{}, false
	}
	p.indexCopies()
	best, found := p.bestPlacement(now, p.coldLoads() < p.pace.concurrency())
	p.withdrawOutdated(now)
	p.keepRoom(now)
	if !found {
		p.searchAt = now.Add(min(longestSearchPause, time.Duration(len(p.endpoints))*searchPause))
		return Order{}, false
	}
	p.begun = append(p.begun, now)
	order := p.order(Load, best.plan, best.adapter)
	duration := warmLoadTime
	if best.cold {
		duration = p.pace.firstLook()
	}
	best.plan.copies[best.adapter] = &copyPlan{
		state: copyLoading, since: now, cold: best.cold, timed: true, pollAt: now.Add(duration), version: max(firstVersion, p.demandOf(now, best.adapter).version),
	}
	return order, true
}

// bestPlacement gives the most valuable load that can begin now; coldAllowed says whether it may come from the weight store.
func (p *Planner) bestPlacement(now time.Time, coldAllowed bool) (placement, bool) {
	spread := p.spreadWork(now)
	var best placement
	found := false
	for adapter, known := range p.demand {
		known.decay(now)
		if p.heldBack(now, adapter, known.version) {
			continue
		}
		value := p.need(now, adapter, known, spread).Value()
		if value <= 0 || (found && value <= best.value) {
			continue
		}
		chosen, ok := p.chooseEndpoint(now, adapter, spread, coldAllowed)
		if !ok {
			continue
		}
		best = placement{adapter: adapter, destination: chosen, value: value}
		found = true
	}
	return best, found
}

// chooseEndpoint gives the endpoint with room that draws the fewest requests, preferably one
// that held the adapter before: there it comes ten times as fast and not from the weight store, so that a
// short wait for that endpoint is worth it.
func (p *Planner) chooseEndpoint(now time.Time, adapter deployment.Adapter, spread *workSpread, coldAllowed bool) (destination, bool) {
	var best destination
	bestCost, warmSoon := 0.0, false
	for id, plan := range p.endpoints {
		_, warm := plan.held[adapter]
		if !plan.takesCopies(adapter, warm) {
			continue
		}
		if !p.takesLoad(now, plan) {
			warmSoon = warmSoon || (warm && plan.soonAvailable(now))
			continue
		}
		if !warm && !coldAllowed {
			continue
		}
		promised := p.promisedWork(now, plan)
		cost := DestinationFactors{
			Backlog: plan.backlog + promised, Work: spread.byEndpoint[id], Copies: len(plan.copies), Held: warm, Chance: p.options.Random(),
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

// DestinationFactors are what the choice of an endpoint for a load depends on, of one that can take it.
type DestinationFactors struct {
	// Backlog is how long it will take to read the prompts that wait there, with those that wait for loads under way to it.
	Backlog time.Duration
	// Work is how much of its time the requests of its copies take, in seconds a second, by the instances' reports.
	Work float64
	// Copies is how many adapters it holds or is to hold, by the plan.
	Copies int
	// Held says that it held the adapter before, by the plan or the directory's memory.
	Held bool
	// Chance is a random number from 0 up to 1.
	Chance float64
}

// Cost is what a load to the endpoint costs, in seconds of its time; the lowest is chosen.
func (f DestinationFactors) Cost() float64 {
	cost := f.Backlog.Seconds() + placementSpan.Seconds()*f.Work + copyWeight*float64(f.Copies) + tieSpread*f.Chance
	if f.Held {
		cost -= heldBonus.Seconds()
	}
	return cost
}

// promisedWork is how long an endpoint will take for the requests that wait for loads under way to it.
func (p *Planner) promisedWork(now time.Time, plan *endpointPlan) time.Duration {
	seconds := 0.0
	for adapter, c := range plan.copies {
		if known, ok := p.demand[adapter]; ok && c.state == copyLoading {
			waiting, _ := known.waitingNow(now, 0)
			seconds += float64(waiting) * known.readTime(now, plan.speed.PerSecond()).Seconds()
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// takesLoad reports whether a load may be ordered from an endpoint now: it takes orders, has a place, and neither too many
// loads nor an unload under way.
func (p *Planner) takesLoad(now time.Time, plan *endpointPlan) bool {
	if !plan.takesOrders(now) {
		return false
	}
	plan.pruneUnanswered(now)
	return plan.taken() < p.capacity(&plan.endpoint) && plan.pending() < maxPending && !plan.unloading()
}

// soonAvailable reports whether an endpoint that cannot take an order now probably can in a moment.
func (e *endpointPlan) soonAvailable(now time.Time) bool {
	outgoing, _ := e.outgoing()
	return !now.Before(e.silentUntil) && (outgoing > 0 || e.busy || e.pending() > 0)
}

// takesCopies reports whether a copy of an adapter may be brought to an endpoint; one that is nearly saturated takes
// only what it held before, which costs the weight store nothing.
func (e *endpointPlan) takesCopies(adapter deployment.Adapter, warm bool) bool {
	_, has := e.copies[adapter]
	return !has && !e.suspect && !e.saturated && (warm || !e.nearlySaturated) && e.endpoint.State == deployment.Ready && e.endpoint.HasModel(adapter.Model)
}

// coldLoads counts the loads under way from the weight store.
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
