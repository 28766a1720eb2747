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

// Options configure a Planner.
type Options struct {
	Rate RateOptions
	// Random returns a random number in [0, 1) to break ties.
	Random func() float64
	// Uses returns the last reported number of requests in flight that use a copy; nil means that there are none.
	Uses func(id deployment.EndpointID, adapter deployment.Adapter) int
	// OldestUsable returns the oldest version of an adapter on which requests may still begin; nil means that all versions may be used.
	OldestUsable func(now time.Time, adapter deployment.Adapter) int64
	// NextWithdrawalNumber returns the number of the next withdrawal, higher than all before; nil numbers withdrawals from
	// 1. Planners whose withdrawals are acknowledged together share this function.
	NextWithdrawalNumber func() uint64
}

// Planner plans the adapters of one service's endpoints. It is not safe for concurrent use.
type Planner struct {
	options   Options
	engine    deployment.Engine
	endpoints map[deployment.EndpointID]*endpointPlan
	// unregistered holds endpoints without an entry in the store. The entry may reappear a little later.
	unregistered map[deployment.EndpointID]*endpointPlan
	demand       map[deployment.Adapter]*adapterDemand
	// waitingAdapters holds, for each instance, the adapters that its requests wait for. With it, the cost of a
	// demand report depends on its length and not on the number of adapters in demand.
	waitingAdapters map[string][]deployment.Adapter
	// pinned is the demand for adapters at the endpoints of one software; pinnedCopies holds, for each instance, those
	// that its requests wait for.
	pinned       map[wantedCopy]*pinnedDemand
	pinnedCopies map[string][]wantedCopy
	// modelLimiter limits the rate of base model loads.
	modelLimiter *windowLimiter
	// loadLimiter limits the number of adapter loads.
	loadLimiter loadLimiter
	// lastWithdrawal is the number of the last withdrawal.
	lastWithdrawal uint64
	// changed holds the endpoints whose copies changed since the last TakeChanges.
	changed map[deployment.EndpointID]bool
	// nextSearchAt is the time of the next search for a load, after one that found none.
	nextSearchAt time.Time
	// recentLoadStarts holds the start times of adapter loads, oldest first; those within throughputWindow count.
	recentLoadStarts []time.Time
	// queuedSince is when adapters began to wait for their loads to start; zero while none waits.
	queuedSince time.Time
	// copyCounts is the number of copies of each adapter, as of the last decision.
	copyCounts map[deployment.Adapter]copyCount
	// failing holds the adapters whose loads recently coincided with endpoint terminations.
	failing map[deployment.Adapter]failingLoad
}

// NewPlanner returns a planner for a service with the given engines.
func NewPlanner(engine deployment.Engine, options Options) *Planner {
	return &Planner{
		options:         options,
		engine:          engine,
		endpoints:       make(map[deployment.EndpointID]*endpointPlan),
		unregistered:    make(map[deployment.EndpointID]*endpointPlan),
		demand:          make(map[deployment.Adapter]*adapterDemand),
		waitingAdapters: make(map[string][]deployment.Adapter),
		pinned:          make(map[wantedCopy]*pinnedDemand),
		pinnedCopies:    make(map[string][]wantedCopy),
		modelLimiter:    newWindowLimiter(options.Rate),
		loadLimiter:     newLoadLimiter(),
		changed:         make(map[deployment.EndpointID]bool),
		copyCounts:      make(map[deployment.Adapter]copyCount),
		failing:         make(map[deployment.Adapter]failingLoad),
	}
}

// SetEngine replaces the description of the engines.
func (p *Planner) SetEngine(engine deployment.Engine) {
	p.engine = engine
}

// AssumeLoads sets the number of base model loads that former planners may have started in the window before now. It
// replaces the number set before.
func (p *Planner) AssumeLoads(now time.Time, count int) {
	p.modelLimiter.assume(now, count)
}

// RecentLoads returns the number of base model loads that this planner started in the last window, without those
// assumed of former planners.
func (p *Planner) RecentLoads(now time.Time) int {
	return p.modelLimiter.recent(now)
}

// SetEndpoint applies the description of an endpoint at a store revision; suspect endpoints receive no new copies. A
// revision that is not newer than the last one has no new information about what the endpoint holds: while the store is
// down, endpoints cannot write what they have loaded since.
func (p *Planner) SetEndpoint(now time.Time, endpoint deployment.Endpoint, revision int64, suspect bool) {
	plan := p.planFor(now, endpoint, revision)
	if plan.describesOtherIncarnation(&endpoint) {
		return
	}
	plan.suspect = suspect
	endpoint.Models = plan.mergeModels(now, endpoint.Models)
	plan.endpoint = endpoint
	for _, model := range endpoint.Models {
		if _, loading := plan.copies[deployment.Adapter{Model: model}]; loading {
			p.addModel(now, plan, model)
			plan.needsInspection = true
		}
	}
	if revision > plan.revision {
		plan.revision = revision
		plan.applyDescription(now, endpoint.Adapters)
	}
}

// SetSuspect sets whether an endpoint is suspect. Copies on a suspect endpoint do not count.
func (p *Planner) SetSuspect(id deployment.EndpointID, suspect bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.suspect = suspect
	}
}

// SetSaturation sets whether an endpoint has so many requests in flight that it receives no new copies, and whether
// it has so many that it receives no requests, in which case its copies cannot serve waiting requests.
func (p *Planner) SetSaturation(id deployment.EndpointID, nearlySaturated, saturated bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.nearlySaturated, plan.saturated = nearlySaturated, saturated
	}
}

// SetFull sets whether an endpoint has so many requests in flight that it receives no more, even of those that only its
// software may run.
func (p *Planner) SetFull(id deployment.EndpointID, full bool) {
	if plan, ok := p.endpoints[id]; ok {
		plan.full = full
	}
}

// SetBacklog sets the time an endpoint needs to read the prompts queued there, and its reading speed.
func (p *Planner) SetBacklog(id deployment.EndpointID, backlog time.Duration, speed work.Speed) {
	if plan, ok := p.endpoints[id]; ok {
		plan.backlog, plan.speed = backlog, speed
	}
}

// RequestInspection requests an inspection of an endpoint that reported a copy as missing.
func (p *Planner) RequestInspection(id deployment.EndpointID) {
	if plan, ok := p.endpoints[id]; ok {
		plan.needsInspection = true
	}
}

// RemoveEndpoint removes an endpoint whose entry is gone from the store. Its plan is kept for deliveryLimit in case
// the entry reappears.
func (p *Planner) RemoveEndpoint(id deployment.EndpointID) {
	plan, ok := p.endpoints[id]
	if !ok {
		return
	}
	delete(p.endpoints, id)
	plan.unregisteredAt = time.Time{}
	p.unregistered[id] = plan
}

// planFor returns the plan of a described endpoint. If the entry had been missing, the former plan is continued,
// because an order to the endpoint may be in flight or may still be carried out; the endpoint's report is read first.
func (p *Planner) planFor(now time.Time, endpoint deployment.Endpoint, revision int64) *endpointPlan {
	plan, ok := p.endpoints[endpoint.ID]
	if ok {
		if plan.hasRestarted(&endpoint, revision) {
			plan = p.replaceRestarted(now, plan, endpoint.Born)
		}
		return plan
	}
	plan, ok = p.unregistered[endpoint.ID]
	if ok {
		delete(p.unregistered, endpoint.ID)
		plan.needsInspection = true
		if plan.hasRestarted(&endpoint, revision) {
			plan = plan.planAfterRestart(now, endpoint.Born)
		}
	} else {
		plan = newEndpointPlan(endpoint)
	}
	p.endpoints[endpoint.ID] = plan
	return plan
}

// pruneUnregistered removes the endpoints whose entries have been missing for so long that no order to them can be
// carried out any more.
func (p *Planner) pruneUnregistered(now time.Time) {
	var gone []*endpointPlan
	for id, plan := range p.unregistered {
		switch {
		case plan.unregisteredAt.IsZero():
			plan.unregisteredAt = now
			gone = append(gone, plan)
		case now.Sub(plan.unregisteredAt) > deliveryLimit:
			delete(p.unregistered, id)
		}
	}
	p.recordLostEndpoints(now, gone)
}

// RememberHeld records adapters that an endpoint held before and can therefore load fast.
func (p *Planner) RememberHeld(id deployment.EndpointID, previouslyHeld map[deployment.Adapter]time.Time) {
	plan, ok := p.endpoints[id]
	if !ok {
		return
	}
	for adapter, at := range previouslyHeld {
		plan.previouslyHeld[adapter] = at
	}
}

// Sweep removes adapters that are no longer requested or no longer cached by an endpoint, and endpoints that are gone.
func (p *Planner) Sweep(now time.Time) {
	p.pruneUnregistered(now)
	p.pruneFailingLoads(now)
	p.recentLoadStarts = slices.DeleteFunc(p.recentLoadStarts, func(at time.Time) bool { return now.Sub(at) > throughputWindow })
	for adapter, known := range p.demand {
		known.decay(now)
		if known.perSecond < minTrackedRate && len(known.waiting) == 0 && known.version == 0 {
			delete(p.demand, adapter)
		}
	}
	for _, plan := range p.endpoints {
		plan.updateHeld(now)
		for adapter, at := range plan.unloaded {
			if now.Sub(at) > descriptionLag {
				delete(plan.unloaded, adapter)
			}
		}
	}
}

// capacity returns the number of adapters that an endpoint can hold.
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

// TakeChanges returns the endpoints whose copies changed since the last call.
func (p *Planner) TakeChanges() []deployment.EndpointID {
	ids := make([]deployment.EndpointID, 0, len(p.changed))
	for id := range p.changed {
		ids = append(ids, id)
	}
	clear(p.changed)
	return ids
}

// Offered returns the models and adapters that an endpoint holds for new requests.
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
