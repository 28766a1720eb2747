// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/deployment"
)

// Options are the settings of a Planner.
type Options struct {
	Rate RateOptions
	// Random gives a number from 0 up to 1, to break ties.
	Random func() float64
	// Uses gives the requests in flight that use a copy, as last reported; nil knows of none.
	Uses func(id deployment.EndpointID, adapter deployment.Adapter) int
}

const (
	// maxPending is how many loads may be heading to one endpoint at once.
	maxPending = 2
	// silenceMemory is for how long after an unanswered order an endpoint's loads are followed by its
	// reports, and reportPoll the pause between these.
	silenceMemory = 4 * time.Second
	reportPoll    = 80 * time.Millisecond
	// loadPoll is the pause between questions whether a load has ended.
	loadPoll = 12 * time.Millisecond
	// unloadPoll is the pause between questions whether an unload has ended.
	unloadPoll = 100 * time.Millisecond
	// answerRest is the pause before an endpoint is looked into whose answer was lost.
	answerRest = 150 * time.Millisecond
	// reportLag is how old an endpoint's report may be.
	reportLag = 500 * time.Millisecond
	// warmLoadTime is the time of a load of an adapter held lately.
	warmLoadTime = 30 * time.Millisecond
	// restAfterFailure keeps orders away from an endpoint after one failed.
	restAfterFailure = 300 * time.Millisecond
	// modelPoll is when to ask first whether a base model has come.
	modelPoll = 400 * time.Millisecond
	// loadLimit and modelLoadLimit are after how long a load of an adapter and of a base model that
	// was accepted is looked into.
	loadLimit      = 1200 * time.Millisecond
	modelLoadLimit = 5 * time.Second
)

// Planner plans for the endpoints of one service; it is not safe for concurrent use.
type Planner struct {
	options   Options
	engine    deployment.Engine
	endpoints map[deployment.EndpointID]*endpointPlan
	demand    map[deployment.Adapter]*adapterDemand
	ledger    *rateLedger
	// ledger bounds loads of base models; pace bounds loads of adapters.
	pace pace
	// withdrawals counts announcements of withdrawals.
	withdrawals uint64
	// changed is set when a copy's state changed since TakeChanges.
	changed map[deployment.EndpointID]bool
	// searchAt is when the next load is looked for after a search that found none.
	searchAt time.Time
	// counts is the number of copies by adapter, as of the last decision.
	counts map[deployment.Adapter]copyCount
}

// NewPlanner makes a planner for a service's engines.
func NewPlanner(engine deployment.Engine, options Options) *Planner {
	return &Planner{
		options:   options,
		engine:    engine,
		endpoints: make(map[deployment.EndpointID]*endpointPlan),
		demand:    make(map[deployment.Adapter]*adapterDemand),
		ledger:    newRateLedger(options.Rate),
		pace:      newPace(),
		changed:   make(map[deployment.EndpointID]bool),
		counts:    make(map[deployment.Adapter]copyCount),
	}
}

// SetEngine takes a changed description of the engines.
func (p *Planner) SetEngine(engine deployment.Engine) {
	p.engine = engine
}

// AssumeLoads counts loads that a former planner may have begun in the last window.
func (p *Planner) AssumeLoads(now time.Time, count int) {
	p.ledger.assume(now, count)
}

// RecentLoads gives the loads begun in the last window, for a successor.
func (p *Planner) RecentLoads(now time.Time) int {
	return p.ledger.recent(now)
}

// SetEndpoint takes in a description at a revision of the store; suspect endpoints get no new
// copies. One that is no newer than the last says nothing new of what the endpoint holds: while the
// store is down, endpoints cannot describe what has been loaded since.
func (p *Planner) SetEndpoint(now time.Time, endpoint deployment.Endpoint, revision int64, suspect bool) {
	plan, ok := p.endpoints[endpoint.ID]
	if !ok {
		plan = newEndpointPlan(endpoint)
		p.endpoints[endpoint.ID] = plan
	}
	plan.suspect = suspect
	if len(endpoint.Models) == 0 && now.Sub(plan.modelSince) < descriptionLag {
		endpoint.Models = plan.endpoint.Models
	}
	plan.endpoint = endpoint
	for _, model := range endpoint.Models {
		if _, loading := plan.copies[deployment.Adapter{Model: model}]; loading {
			p.modelArrived(now, plan, model)
			plan.inspect = true
		}
	}
	if revision > plan.revision {
		plan.revision = revision
		plan.adopt(now, endpoint.Adapters, descriptionLag)
	}
}

// SetSuspect tells whether an endpoint behaves badly; then its copies do not count.
func (p *Planner) SetSuspect(id deployment.EndpointID, suspect bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.suspect = suspect
	}
}

// SetLoad tells whether an endpoint has so many requests in flight that it should get no new copies,
// and whether it has so many that its copies do not help requests that wait.
func (p *Planner) SetLoad(id deployment.EndpointID, crowded, full bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.crowded, plan.full = crowded, full
	}
}

// NoteMissing asks for an endpoint's report, since it said that it lacks a copy.
func (p *Planner) NoteMissing(id deployment.EndpointID) {
	if plan, ok := p.endpoints[id]; ok {
		plan.inspect = true
	}
}

// RemoveEndpoint forgets an endpoint.
func (p *Planner) RemoveEndpoint(id deployment.EndpointID) {
	delete(p.endpoints, id)
}

// KeepOnly forgets all endpoints but those named.
func (p *Planner) KeepOnly(ids map[deployment.EndpointID]bool) {
	for id := range p.endpoints {
		if !ids[id] {
			delete(p.endpoints, id)
		}
	}
}

// RememberHeld tells that an endpoint held adapters before, so that it loads them fast.
func (p *Planner) RememberHeld(id deployment.EndpointID, held map[deployment.Adapter]time.Time) {
	plan, ok := p.endpoints[id]
	if !ok {
		return
	}
	for adapter, at := range held {
		plan.held[adapter] = at
	}
}

// AddRates takes in one instance's arrival rates, in requests a second, from before this plan.
func (p *Planner) AddRates(now time.Time, rates map[deployment.Adapter]float64) {
	for adapter, rate := range rates {
		known := p.demandOf(now, adapter)
		known.decay(now)
		known.rate += rate
	}
}

// Report takes in one instance's whole demand.
func (p *Planner) Report(now time.Time, instance string, demands []Demand) {
	for _, known := range p.demand {
		delete(known.waiting, instance)
	}
	for _, one := range demands {
		known := p.demandOf(now, one.Adapter)
		known.arrive(now, one.Arrivals)
		if one.Waiting > 0 {
			known.waiting[instance] = waitingPart{count: one.Waiting, until: now.Add(one.InTime)}
		}
	}
}

// ForgetInstance drops the waiting requests of an instance that is gone.
func (p *Planner) ForgetInstance(instance string) {
	for _, known := range p.demand {
		delete(known.waiting, instance)
	}
}

// SetVersion names the version of an adapter that is to be served.
func (p *Planner) SetVersion(now time.Time, adapter deployment.Adapter, version int64) {
	known := p.demandOf(now, adapter)
	known.version = max(known.version, version)
}

func (p *Planner) demandOf(now time.Time, adapter deployment.Adapter) *adapterDemand {
	known, ok := p.demand[adapter]
	if !ok {
		known = &adapterDemand{updated: now, waiting: make(map[string]waitingPart)}
		p.demand[adapter] = known
	}
	return known
}

// Sweep forgets adapters that nobody asks for.
func (p *Planner) Sweep(now time.Time) {
	for adapter, known := range p.demand {
		known.decay(now)
		if known.rate < forgetBelow && len(known.waiting) == 0 && known.version == 0 {
			delete(p.demand, adapter)
		}
	}
	for _, plan := range p.endpoints {
		for adapter, at := range plan.dropped {
			if now.Sub(at) > descriptionLag {
				delete(plan.dropped, adapter)
			}
		}
	}
}

// capacity is the number of adapters that an endpoint can hold.
func (p *Planner) capacity(endpoint *deployment.Endpoint) int {
	capacity := p.engine.AdapterCapacity
	free := p.engine.WeightsMB
	adapterMB := 0.0
	for _, model := range p.engine.Models {
		if endpoint.HasModel(model.Name) {
			free -= model.WeightsMB
			adapterMB = max(adapterMB, model.AdapterMB)
		}
	}
	if adapterMB > 0 {
		capacity = min(capacity, int(math.Floor(free/adapterMB)))
	}
	return capacity
}

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

// TakeChanges gives the endpoints whose copies changed since the last call.
func (p *Planner) TakeChanges() []deployment.EndpointID {
	ids := make([]deployment.EndpointID, 0, len(p.changed))
	for id := range p.changed {
		ids = append(ids, id)
	}
	clear(p.changed)
	return ids
}

// Offered gives the models and adapters that an endpoint holds for new requests.
func (p *Planner) Offered(id deployment.EndpointID) (models []string, adapters map[deployment.Adapter]int64) {
	plan, ok := p.endpoints[id]
	if !ok {
		return nil, nil
	}
	adapters = make(map[deployment.Adapter]int64, len(plan.copies))
	for adapter, c := range plan.copies {
		if c.state == copyResident {
			adapters[adapter] = c.version
		}
	}
	return plan.endpoint.Models, adapters
}

// Forecast is when an adapter that is not resident will be.
type Forecast struct {
	Adapter deployment.Adapter
	Until   time.Duration
}

// LoadTime is the usual time of a load of an adapter.
func (p *Planner) LoadTime() time.Duration {
	return p.pace.typical
}

// mostQueued bounds the forecasts for adapters whose load has not begun.
const mostQueued = 100

// Forecasts gives the adapters on their way and, with the most valuable first, those that requests wait
// for. Backlog is when an adapter would be there that nobody has asked for yet.
func (p *Planner) Forecasts(now time.Time) (list []Forecast, backlog time.Duration) {
	list = p.loadingForecasts(now)
	queued := p.queuedAdapters(now)
	parallel := p.parallelLoads()
	for i, adapter := range queued {
		if i < mostQueued {
			list = append(list, Forecast{Adapter: adapter, Until: p.queueTime(i, parallel)})
		}
	}
	return list, p.queueTime(len(queued), parallel)
}

// queueTime is when an adapter will be there that has so many others before it.
func (p *Planner) queueTime(before, parallel int) time.Duration {
	turns := float64(before+p.coldLoads()) / float64(parallel)
	return time.Duration((1 + turns) * float64(p.pace.typical))
}

// parallelLoads is how many loads can run at once.
func (p *Planner) parallelLoads() int {
	open := 0
	for _, plan := range p.endpoints {
		if plan.endpoint.State == deployment.Ready && !plan.suspect && !plan.crowded && len(plan.endpoint.Models) > 0 {
			open++
		}
	}
	return max(1, min(open*maxPending, p.pace.concurrency()))
}

// queuedAdapters gives the adapters that requests wait for and that are not on their way, the most
// valuable first.
func (p *Planner) queuedAdapters(now time.Time) []deployment.Adapter {
	p.indexCopies()
	values := make(map[deployment.Adapter]float64)
	var queued []deployment.Adapter
	for adapter, known := range p.demand {
		count := p.counts[adapter]
		if len(known.waiting) == 0 || count.coming > 0 || count.free > 0 {
			continue
		}
		known.decay(now)
		values[adapter] = p.value(now, adapter, known, 0)
		queued = append(queued, adapter)
	}
	slices.SortFunc(queued, func(a, b deployment.Adapter) int { return cmp.Compare(values[b], values[a]) })
	return queued
}

func (p *Planner) loadingForecasts(now time.Time) []Forecast {
	var list []Forecast
	for _, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			if c.state == copyLoading {
				list = append(list, Forecast{Adapter: adapter, Until: max(0, c.since.Add(p.pace.typical).Sub(now))})
			}
		}
	}
	return list
}

// NextPoll gives the earliest time at which a load is to be asked about; zero if there is none.
func (p *Planner) NextPoll() time.Time {
	var next time.Time
	for _, plan := range p.endpoints {
		if plan.busy || plan.inspect {
			continue
		}
		for _, c := range plan.copies {
			if c.state == copyLoading && (next.IsZero() || c.pollAt.Before(next)) {
				next = c.pollAt
			}
		}
	}
	return next
}
