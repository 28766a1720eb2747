// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"math"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

// Options are the settings of a Planner.
type Options struct {
	Rate RateOptions
	// Random gives a number from 0 up to 1, to break ties.
	Random func() float64
	// Uses gives the requests in flight that use a copy, as last reported; nil knows of none.
	Uses func(id deployment.EndpointID, adapter deployment.Adapter) int
	// NextWithdrawal numbers the announcements of withdrawals, each above the last; nil numbers them from 1. Planners whose
	// announcements are acknowledged together share it.
	NextWithdrawal func() uint64
}

// Planner plans for the endpoints of one service; it is not safe for concurrent use.
type Planner struct {
	options   Options
	engine    deployment.Engine
	endpoints map[deployment.EndpointID]*endpointPlan
	// lapsed are endpoints without an entry in the store; an entry can be back a little later.
	lapsed map[deployment.EndpointID]*endpointPlan
	demand map[deployment.Adapter]*adapterDemand
	// waitedFor are the adapters for which each instance's requests wait, so that a report costs what it tells, however many adapters
	// are asked for.
	waitedFor map[string][]deployment.Adapter
	// modelLimiter bounds loads of base models.
	modelLimiter *windowLimiter
	// pace bounds loads of adapters.
	pace pace
	// withdrawals is the number of the last announcement of a withdrawal.
	withdrawals uint64
	// changed is set when a copy's state changed since TakeChanges.
	changed map[deployment.EndpointID]bool
	// searchAt is when the next load is looked for after a search that found none.
	searchAt time.Time
	// begun are the begins of adapters' loads, the oldest first; those of throughputSpan count.
	begun []time.Time
	// queuedSince is since when adapters wait for the begin of their loads; zero while none does.
	queuedSince time.Time
	// counts is the number of copies by adapter, as of the last decision.
	counts map[deployment.Adapter]copyCount
	// failing are the adapters under whose loads endpoints ended lately.
	failing map[deployment.Adapter]failingLoad
}

// NewPlanner makes a planner for a service's engines.
func NewPlanner(engine deployment.Engine, options Options) *Planner {
	return &Planner{
		options:      options,
		engine:       engine,
		endpoints:    make(map[deployment.EndpointID]*endpointPlan),
		lapsed:       make(map[deployment.EndpointID]*endpointPlan),
		demand:       make(map[deployment.Adapter]*adapterDemand),
		waitedFor:    make(map[string][]deployment.Adapter),
		modelLimiter: newWindowLimiter(options.Rate),
		pace:         newPace(),
		changed:      make(map[deployment.EndpointID]bool),
		counts:       make(map[deployment.Adapter]copyCount),
		failing:      make(map[deployment.Adapter]failingLoad),
	}
}

// SetEngine takes a changed description of the engines.
func (p *Planner) SetEngine(engine deployment.Engine) {
	p.engine = engine
}

// AssumeLoads counts loads of base models that former planners may have begun in the window before a time, in place of what was
// assumed before.
func (p *Planner) AssumeLoads(now time.Time, count int) {
	p.modelLimiter.assume(now, count)
}

// RecentLoads gives this planner's own loads of base models begun in the last window, without those that are assumed.
func (p *Planner) RecentLoads(now time.Time) int {
	return p.modelLimiter.recent(now)
}

// SetEndpoint takes in a description at a revision of the store; suspect endpoints get no new
// copies. One that is no newer than the last says nothing new of what the endpoint holds: while the
// store is down, endpoints cannot describe what has been loaded since.
func (p *Planner) SetEndpoint(now time.Time, endpoint deployment.Endpoint, revision int64, suspect bool) {
	plan := p.introduce(now, endpoint, revision)
	if plan.isFormer(&endpoint) {
		return
	}
	plan.suspect = suspect
	endpoint.Models = plan.keepModels(now, endpoint.Models)
	plan.endpoint = endpoint
	for _, model := range endpoint.Models {
		if _, loading := plan.copies[deployment.Adapter{Model: model}]; loading {
			p.modelArrived(now, plan, model)
			plan.inspect = true
		}
	}
	if revision > plan.revision {
		plan.revision = revision
		plan.adoptDescription(now, endpoint.Adapters)
	}
}

// SetSuspect notes whether an endpoint is suspect; its copies then do not count.
func (p *Planner) SetSuspect(id deployment.EndpointID, suspect bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.suspect = suspect
	}
}

// SetSaturation takes in whether an endpoint has so many requests in flight that it gets no new copies, and whether it
// has so many that it gets no requests, so that its copies do not help those that wait.
func (p *Planner) SetSaturation(id deployment.EndpointID, nearlySaturated, saturated bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.nearlySaturated, plan.saturated = nearlySaturated, saturated
	}
}

// SetBacklog takes in how long an endpoint will take to read the prompts that wait there, and how fast it reads.
func (p *Planner) SetBacklog(id deployment.EndpointID, backlog time.Duration, speed work.Speed) {
	if plan, ok := p.endpoints[id]; ok {
		plan.backlog, plan.speed = backlog, speed
	}
}

// NoteMissing asks for an endpoint's report, since it said that it lacks a copy.
func (p *Planner) NoteMissing(id deployment.EndpointID) {
	if plan, ok := p.endpoints[id]; ok {
		plan.inspect = true
	}
}

// RemoveEndpoint ends the plan of an endpoint whose entry is gone.
func (p *Planner) RemoveEndpoint(id deployment.EndpointID) {
	plan, ok := p.endpoints[id]
	if !ok {
		return
	}
	delete(p.endpoints, id)
	plan.lapsedAt = time.Time{}
	p.lapsed[id] = plan
}

// introduce gives the plan of a described endpoint. One whose entry had lapsed goes on where it was, since an order may be
// under way to it or may still be carried out; its report is read first.
func (p *Planner) introduce(now time.Time, endpoint deployment.Endpoint, revision int64) *endpointPlan {
	plan, ok := p.endpoints[endpoint.ID]
	if ok {
		if plan.startedAnew(&endpoint, revision) {
			plan = p.restart(now, plan, endpoint.Born)
		}
		return plan
	}
	plan, ok = p.lapsed[endpoint.ID]
	if ok {
		delete(p.lapsed, endpoint.ID)
		plan.inspect = true
		if plan.startedAnew(&endpoint, revision) {
			plan = plan.successor(now, endpoint.Born)
		}
	} else {
		plan = newEndpointPlan(endpoint)
	}
	p.endpoints[endpoint.ID] = plan
	return plan
}

// forgetLapsed forgets the endpoints whose entries were gone for so long that no order to them is carried out any more.
func (p *Planner) forgetLapsed(now time.Time) {
	var gone []*endpointPlan
	for id, plan := range p.lapsed {
		switch {
		case plan.lapsedAt.IsZero():
			plan.lapsedAt = now
			gone = append(gone, plan)
		case now.Sub(plan.lapsedAt) > deliveryLimit:
			delete(p.lapsed, id)
		}
	}
	p.noteEnds(now, gone)
}

// RememberHeld notes that an endpoint held adapters before, so that it loads them fast.
func (p *Planner) RememberHeld(id deployment.EndpointID, held map[deployment.Adapter]time.Time) {
	plan, ok := p.endpoints[id]
	if !ok {
		return
	}
	for adapter, at := range held {
		plan.held[adapter] = at
	}
}

// Sweep forgets adapters that nobody asks for and endpoints that are gone.
func (p *Planner) Sweep(now time.Time) {
	p.forgetLapsed(now)
	p.forgetFailing(now)
	p.begun = slices.DeleteFunc(p.begun, func(at time.Time) bool { return now.Sub(at) > throughputSpan })
	for adapter, known := range p.demand {
		known.decay(now)
		if known.perSecond < forgetBelow && len(known.waiting) == 0 && known.version == 0 {
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
