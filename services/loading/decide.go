// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/deployment"
)

const (
	// horizon is how far ahead a copy's use is counted.
	horizon = 15.0
	// inTimeValue and lateValue are what a waiting request is worth against a future one.
	inTimeValue = 1.0
	lateValue   = 0.15
	// spareShare is the part of an endpoint's places that is kept free for the next loads, and
	// mostSpare the most places.
	spareShare = 0.15
	mostSpare  = 2
	// mostEvicted is the expected use, in requests, from which on a copy is never evicted.
	mostEvicted = 12.0
	// fullShare is the part of an endpoint's fair share of requests that one copy may take.
	fullShare = 0.7
	// extraCopyValue weighs relief of a crowded copy against a first copy.
	extraCopyValue = 0.4
	// leastExtraRate is the arrival rate below which one copy is always enough.
	leastExtraRate = 0.8
	// warmBonus favours an endpoint that held the adapter before.
	warmBonus = 3.0
	// searchPause is, for each endpoint, the pause after a search that found nothing to load, so
	// that searches take a bounded part of the processor in a large fleet.
	searchPause        = 400 * time.Microsecond
	longestSearchPause = 50 * time.Millisecond
	// settleTime is how long a new copy is safe from eviction.
	settleTime = 2 * time.Second
	// withdrawalPatience is after how long a withdrawn copy that is still in use is offered again.
	withdrawalPatience = 400 * time.Millisecond
	// firstVersion is an adapter's version before another one is named.
	firstVersion = 1
)

// Next gives the next order to send, if there is one. Its endpoint is busy until Done.
func (p *Planner) Next(now time.Time) (Order, bool) {
	for _, decide := range []func(time.Time) (Order, bool){p.nextInspection, p.nextPoll, p.nextUnload, p.nextModel, p.nextLoad} {
		if order, ok := decide(now); ok {
			p.endpoints[order.Endpoint.ID].busy = true
			return order, true
		}
	}
	return Order{}, false
}

func (p *Planner) order(kind OrderKind, plan *endpointPlan, adapter deployment.Adapter) Order {
	return Order{Kind: kind, Endpoint: plan.endpoint, Adapter: adapter, ExpectedSequence: plan.sequence}
}

// available tells whether an order may be sent to an endpoint now.
func (e *endpointPlan) available(now time.Time) bool {
	return !e.busy && !now.Before(e.restUntil) && e.endpoint.State == deployment.Ready
}

func (p *Planner) nextInspection(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if plan.inspect && plan.available(now) {
			return p.order(Inspect, plan, deployment.Adapter{}), true
		}
	}
	return Order{}, false
}

func (p *Planner) nextPoll(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if !plan.available(now) || plan.inspect {
			continue
		}
		for adapter, c := range plan.copies {
			if c.state != copyLoading || now.Before(c.pollAt) {
				continue
			}
			if now.Before(plan.silentUntil) {
				return p.order(Inspect, plan, deployment.Adapter{}), true
			}
			order := p.order(Load, plan, adapter)
			order.Poll = true
			return order, true
		}
	}
	return Order{}, false
}

// nextUnload unloads what is withdrawn and confirmed as unused.
func (p *Planner) nextUnload(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if !plan.available(now) || plan.inspect {
			continue
		}
		for adapter, c := range plan.copies {
			if c.state != copyUnloading || now.Before(c.pollAt) {
				continue
			}
			order := p.order(Unload, plan, adapter)
			order.Poll = c.accepted
			return order, true
		}
	}
	return Order{}, false
}

// ConfirmUnused lets withdrawn copies be unloaded; unused tells whether every instance has
// seen the announcement and uses the copy no more. A copy that stays in use is offered again, unless
// it is outdated, so that another one can make room.
func (p *Planner) ConfirmUnused(now time.Time, unused func(id deployment.EndpointID, adapter deployment.Adapter, withdrawal uint64) bool) {
	for id, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			if c.state != copyWithdrawn {
				continue
			}
			switch {
			case unused(id, adapter, c.withdrawal):
				c.state, c.since = copyUnloading, now
			case now.Sub(c.since) > withdrawalPatience && p.uses(id, adapter) > 0 && c.version >= p.versionOf(adapter):
				c.state, c.since = copyResident, now
				p.changed[id] = true
			}
		}
	}
}

// uses gives the requests in flight that use a copy, as last reported.
func (p *Planner) uses(id deployment.EndpointID, adapter deployment.Adapter) int {
	if p.options.Uses == nil {
		return 0
	}
	return p.options.Uses(id, adapter)
}

// Withdrawals gives the number of the last announcement.
func (p *Planner) Withdrawals() uint64 {
	return p.withdrawals
}

// nextModel brings a base model to an endpoint that holds none, as after its restart. Copies that
// endpoints have themselves come at once; from the weight store they come one after the other.
func (p *Planner) nextModel(now time.Time) (Order, bool) {
	storeAllowed := p.coldModelLoads() == 0 && p.ledger.allows(now)
	for _, plan := range p.endpoints {
		if len(plan.endpoint.Models) > 0 || len(plan.copies) > 0 || !plan.available(now) || plan.inspect {
			continue
		}
		for _, model := range p.engine.Models {
			if model.WeightsMB > p.engine.WeightsMB {
				continue
			}
			cached := slices.Contains(plan.endpoint.CachedModels, model.Name)
			if !cached && !storeAllowed {
				continue
			}
			if !cached {
				p.ledger.begin(now)
			}
			adapter := deployment.Adapter{Model: model.Name}
			plan.copies[adapter] = &copyPlan{state: copyLoading, since: now, cold: !cached, pollAt: now.Add(modelPoll)}
			return p.order(Load, plan, adapter), true
		}
	}
	return Order{}, false
}

// coldModelLoads counts the base models on their way from the weight store.
func (p *Planner) coldModelLoads() int {
	count := 0
	for _, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			if adapter.IsZero() && c.state == copyLoading && c.cold {
				count++
			}
		}
	}
	return count
}

// placement is a possible load.
type placement struct {
	adapter deployment.Adapter
	plan    *endpointPlan
	cold    bool
	value   float64
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

func (p *Planner) bestPlacement(now time.Time, coldAllowed bool) (placement, bool) {
	loads := p.expectedLoads(now)
	total := 0.0
	for _, load := range loads {
		total += load
	}
	var best placement
	found := false
	for adapter, known := range p.demand {
		known.decay(now)
		value := p.value(now, adapter, known, total)
		if value <= 0 || (found && value <= best.value) {
			continue
		}
		plan, cold, ok := p.chooseEndpoint(now, adapter, loads, coldAllowed)
		if !ok {
			continue
		}
		best = placement{adapter: adapter, plan: plan, cold: cold, value: value}
		found = true
	}
	return best, found
}

// copyCount is how many copies of an adapter there are.
type copyCount struct {
	// usable copies are resident at the version to be served; coming ones are on their way;
	// free ones are usable and not on a full endpoint.
	usable, coming, free int
}

// indexCopies counts all adapters' copies on endpoints that take requests.
func (p *Planner) indexCopies() {
	clear(p.counts)
	for _, plan := range p.endpoints {
		if plan.endpoint.State != deployment.Ready || plan.suspect {
			continue
		}
		for adapter, c := range plan.copies {
			count := p.counts[adapter]
			switch {
			case c.state == copyLoading:
				count.coming++
			case c.state == copyResident && c.version >= p.versionOf(adapter):
				count.usable++
				if !plan.full {
					count.free++
				}
			}
			p.counts[adapter] = count
		}
	}
}

func (p *Planner) versionOf(adapter deployment.Adapter) int64 {
	if known, ok := p.demand[adapter]; ok {
		return known.version
	}
	return 0
}

// value is the worth of one more copy, in requests served.
func (p *Planner) value(now time.Time, adapter deployment.Adapter, known *adapterDemand, total float64) float64 {
	usable, coming := p.counts[adapter].usable, p.counts[adapter].coming
	waiting, inTime := known.waitingNow(now, p.pace.typical)
	if coming == 0 && (usable == 0 || (waiting > 0 && p.counts[adapter].free == 0)) {
		if waiting == 0 && known.rate*horizon < 1 {
			return 0
		}
		return float64(inTime)*inTimeValue + float64(waiting-min(waiting, inTime))*lateValue + known.rate*horizon
	}
	if coming > 0 || known.rate < leastExtraRate || total <= 0 {
		return 0
	}
	fair := total / float64(max(1, p.readyEndpoints())) * fullShare
	excess := known.rate/float64(usable) - fair
	if excess <= 0 {
		return 0
	}
	return excess * horizon * extraCopyValue
}

func (p *Planner) readyEndpoints() int {
	count := 0
	for _, plan := range p.endpoints {
		if plan.endpoint.State == deployment.Ready && !plan.suspect {
			count++
		}
	}
	return count
}

// expectedLoads gives the request rate that each endpoint's copies draw.
func (p *Planner) expectedLoads(now time.Time) map[deployment.EndpointID]float64 {
	loads := make(map[deployment.EndpointID]float64, len(p.endpoints))
	for id, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			known, ok := p.demand[adapter]
			if !ok || (c.state != copyResident && c.state != copyLoading) {
				continue
			}
			known.decay(now)
			count := p.counts[adapter]
			loads[id] += known.rate / float64(max(1, count.usable+count.coming))
		}
	}
	return loads
}

// chooseEndpoint gives the endpoint with room that draws the fewest requests, preferably one
// that held the adapter before: there it comes ten times as fast and not from the weight store, so that a
// short wait for that endpoint is worth it.
func (p *Planner) chooseEndpoint(now time.Time, adapter deployment.Adapter, loads map[deployment.EndpointID]float64, coldAllowed bool) (*endpointPlan, bool, bool) {
	var best *endpointPlan
	bestCost, bestCold, warmSoon := 0.0, false, false
	for id, plan := range p.endpoints {
		_, warm := plan.held[adapter]
		if !plan.takesCopies(adapter, warm) {
			continue
		}
		if !plan.available(now) || plan.inspect || plan.taken(now) >= p.capacity(&plan.endpoint) || plan.pending() >= maxPending || plan.unloading() {
			warmSoon = warmSoon || (warm && plan.soonAvailable(now))
			continue
		}
		if !warm && !coldAllowed {
			continue
		}
		cost := loads[id] + 0.02*float64(len(plan.copies)) + 0.01*p.options.Random()
		if warm {
			cost -= warmBonus
		}
		if best == nil || cost < bestCost {
			best, bestCost, bestCold = plan, cost, !warm
		}
	}
	if bestCold && warmSoon {
		return nil, false, false
	}
	return best, bestCold, best != nil
}

// soonAvailable tells whether an endpoint that cannot take an order now probably can in a moment.
func (e *endpointPlan) soonAvailable(now time.Time) bool {
	outgoing, _ := e.outgoing()
	return !now.Before(e.silentUntil) && (outgoing > 0 || e.busy || e.pending() > 0)
}

// takesCopies tells whether a copy of an adapter may be brought to an endpoint; a crowded one takes
// only what it held before, which costs the weight store nothing.
func (e *endpointPlan) takesCopies(adapter deployment.Adapter, warm bool) bool {
	_, has := e.copies[adapter]
	return !has && !e.suspect && !e.full && (warm || !e.crowded) && e.endpoint.State == deployment.Ready && e.endpoint.HasModel(adapter.Model)
}

// keepRoom withdraws the least valuable copy of each endpoint that is nearly full, so that a
// load need not wait for an unload.
func (p *Planner) keepRoom(now time.Time) {
	for id, plan := range p.endpoints {
		if plan.suspect || plan.endpoint.State != deployment.Ready {
			continue
		}
		outgoing, unconfirmed := plan.outgoing()
		if p.capacity(&plan.endpoint)-plan.taken(now)+outgoing >= p.spare(&plan.endpoint) || unconfirmed {
			continue
		}
		if victim := p.leastValuable(now, id, plan); victim != nil {
			p.withdraw(now, id, victim)
		}
	}
}

// spare is how many places of an endpoint are kept free.
func (p *Planner) spare(endpoint *deployment.Endpoint) int {
	return max(1, min(mostSpare, int(spareShare*float64(p.capacity(endpoint)))))
}

// outgoing counts the copies that are withdrawn or being unloaded, and tells whether one of them is
// not confirmed as unused yet.
func (e *endpointPlan) outgoing() (count int, unconfirmed bool) {
	for _, c := range e.copies {
		switch c.state {
		case copyWithdrawn:
			count++
			unconfirmed = true
		case copyUnloading:
			count++
		}
	}
	return count, unconfirmed
}

// leastValuable gives the settled copy that no request uses and that is expected to serve the fewest
// requests, if these are few enough.
func (p *Planner) leastValuable(now time.Time, id deployment.EndpointID, plan *endpointPlan) *copyPlan {
	var victim *copyPlan
	least := mostEvicted
	for adapter, c := range plan.copies {
		if c.state != copyResident || now.Sub(c.settledSince) < settleTime || p.isWanted(now, adapter) || p.uses(id, adapter) > 0 {
			continue
		}
		if worth := p.worth(now, adapter); worth < least {
			victim, least = c, worth
		}
	}
	return victim
}

// isWanted tells whether requests wait for an adapter.
func (p *Planner) isWanted(now time.Time, adapter deployment.Adapter) bool {
	known, ok := p.demand[adapter]
	if !ok {
		return false
	}
	waiting, _ := known.waitingNow(now, 0)
	return waiting > 0
}

// worth is what a resident copy is expected to serve.
func (p *Planner) worth(now time.Time, adapter deployment.Adapter) float64 {
	known, ok := p.demand[adapter]
	if !ok {
		return 0
	}
	known.decay(now)
	return known.rate * horizon / float64(max(1, p.counts[adapter].usable))
}

func (p *Planner) withdraw(now time.Time, id deployment.EndpointID, c *copyPlan) {
	p.withdrawals++
	c.state, c.since, c.withdrawal = copyWithdrawn, now, p.withdrawals
	p.changed[id] = true
}

// withdrawOutdated withdraws copies of an older version once a newer copy takes requests, or
// when nobody asks for the adapter.
func (p *Planner) withdrawOutdated(now time.Time) {
	for id, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			known, ok := p.demand[adapter]
			if !ok || c.state != copyResident || c.version >= known.version {
				continue
			}
			if p.counts[adapter].usable > 0 || known.rate*horizon < 1 {
				p.withdraw(now, id, c)
			}
		}
	}
}
