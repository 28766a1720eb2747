// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/loading"
	"github.com/shelfledge/shelfledge/services/entry/ownership"
)

// planning is the state of the instance that holds the ownership.
type planning struct {
	coordinator *Coordinator
	tenure      *ownership.Tenure
	// at is the revision up to which the endpoints' keys were read.
	at       int64
	planners map[string]*loading.Planner
	members  *member.Table
	removed  []wire.Gone
	changed  map[deployment.EndpointID]bool
	// begun are the loads that began since the last view.
	begun []wire.Forecast
	views view.Schedule
	// startRecent is what the former holder said of its loads.
	startRecent int
	// leaving is set before the ownership is given up: no order is started any more.
	leaving bool
	// resigned tells the members that no order follows in this term.
	resigned bool
	orders   int
	// wakeAt is when a plan is due for a load that ends.
	wakeAt time.Time
}

// memberSilence is after how long without a report an instance counts as lost.
func (c *Coordinator) memberSilence() time.Duration {
	return member.Silence(c.following.Members)
}

func newPlanning(c *Coordinator, now time.Time, tenure *ownership.Tenure, startRecent int) *planning {
	p := &planning{
		coordinator: c,
		tenure:      tenure,
		planners:    make(map[string]*loading.Planner),
		members:     member.NewTable(),
		changed:     make(map[deployment.EndpointID]bool),
		startRecent: startRecent,
	}
	if configuration := c.current.Load(); configuration != nil {
		p.setConfiguration(now, configuration)
	}
	return p
}

// setConfiguration makes a plan for each service with engines.
func (p *planning) setConfiguration(now time.Time, configuration *deployment.Configuration) {
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		if planner, ok := p.planners[name]; ok {
			planner.SetEngine(*service.Engine)
			continue
		}
		p.planners[name] = p.newPlanner(now, *service.Engine)
		p.introduceEndpoints(now, name)
	}
	for name := range p.planners {
		if _, ok := configuration.Services[name]; !ok {
			delete(p.planners, name)
		}
	}
	for adapter, version := range p.coordinator.versions.All() {
		p.setVersion(now, adapter, version)
	}
}

// introduceEndpoints tells a new plan of its endpoints and of what they held before.
func (p *planning) introduceEndpoints(now time.Time, service string) {
	for _, entry := range p.coordinator.directory.Service(service) {
		p.setEndpoint(now, entry.Endpoint, entry.Revision)
		p.planners[service].RememberHeld(entry.ID, entry.Held)
	}
}

func (p *planning) newPlanner(now time.Time, engine deployment.Engine) *loading.Planner {
	options := p.coordinator.options
	planner := loading.NewPlanner(engine, loading.Options{
		Rate: loading.RateOptions{
			PerSecond: engine.LoadsPerSecond, Window: options.LoadWindow, Tolerance: options.LoadTolerance, Slack: options.LoadSlack,
		},
		Random: options.Random,
		Uses:   p.copyUses,
	})
	planner.AssumeLoads(now, p.startRecent)
	return planner
}

func (p *planning) setVersion(now time.Time, adapter deployment.Adapter, version int64) {
	for name, planner := range p.planners {
		if p.hasModel(name, adapter.Model) {
			planner.SetVersion(now, adapter, version)
		}
	}
}

func (p *planning) hasModel(service, model string) bool {
	configuration := p.coordinator.current.Load()
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].Engine == nil {
		return false
	}
	for _, one := range configuration.Services[service].Engine.Models {
		if one.Name == model {
			return true
		}
	}
	return false
}

// setEndpoint passes a description on to its service's plan and marks it for the next view.
func (p *planning) setEndpoint(now time.Time, endpoint deployment.Endpoint, revision int64) {
	p.changed[endpoint.ID] = true
	planner, ok := p.planners[endpoint.Service]
	if !ok {
		return
	}
	planner.SetEndpoint(now, endpoint, revision, p.suspect(now, endpoint.ID))
	p.publishCopies(endpoint.ID, planner)
}

// publishCopies makes the plan's copies this instance's own view of an endpoint.
func (p *planning) publishCopies(id deployment.EndpointID, planner *loading.Planner) {
	models, adapters := planner.Offered(id)
	p.coordinator.directory.SetOffered(id, models, adapters)
	p.changed[id] = true
}

func (p *planning) removeEndpoint(id deployment.EndpointID, revision int64) {
	for _, planner := range p.planners {
		planner.RemoveEndpoint(id)
	}
	delete(p.changed, id)
	p.removed = append(p.removed, wire.Gone{ID: id, Revision: revision})
}

// suspect tells whether an endpoint is bad for more than one instance, or for the only one.
func (p *planning) suspect(now time.Time, id deployment.EndpointID) bool {
	entry := p.coordinator.directory.Entry(id)
	return p.members.Bad(id, entry != nil && entry.Health.Ejected(now))
}

// plan starts all orders that may be sent now and tells the members what changed.
func (c *Coordinator) plan(now time.Time) {
	p := c.planning
	if p == nil {
		return
	}
	p.dropLost(now)
	p.confirmWithdrawals(now)
	p.noteCrowds()
	for _, planner := range p.planners {
		for !p.leaving && p.tenure.MayOrder(now) {
			order, ok := planner.Next(now)
			if !ok {
				break
			}
			p.noteBegun(now, planner, order)
			c.startOrder(order)
		}
		for _, id := range planner.TakeChanges() {
			p.publishCopies(id, planner)
		}
	}
	p.broadcast(now, p.views.TotalsDue(now, c.following.Members))
	c.reviewWaiters(now)
	c.wakeForPoll(now)
}

// noteBegun lets the next view tell that a load has begun.
func (p *planning) noteBegun(now time.Time, planner *loading.Planner, order loading.Order) {
	if order.Kind != loading.Load || order.Poll || order.Adapter.IsZero() {
		return
	}
	until := planner.LoadTime()
	key := deployment.ServiceAdapter{Service: order.Endpoint.Service, Adapter: order.Adapter}
	p.coordinator.forecasts.Note(key, now.Add(until))
	p.begun = append(p.begun, wire.Forecast{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name, Until: until})
}

// wakeForPoll plans again when the next load is expected to have ended.
func (c *Coordinator) wakeForPoll(now time.Time) {
	for _, planner := range c.planning.planners {
		next := planner.NextPoll()
		if next.IsZero() || next.Sub(now) > tickPace || now.Before(c.planning.wakeAt) {
			continue
		}
		span := max(next.Sub(now), time.Millisecond)
		c.planning.wakeAt = now.Add(span)
		time.AfterFunc(span, func() { c.loop.post(c.plan) })
	}
}

// startOrder sends an order beside the control goroutine.
func (c *Coordinator) startOrder(order loading.Order) {
	p := c.planning
	p.orders++
	term := p.tenure.Record().Term
	c.run(func() {
		started := c.options.Now()
		result := c.sendOrder(order, p, term)
		result.Took = c.options.Now().Sub(started)
		c.loop.post(func(now time.Time) { c.orderDone(now, p, result) })
	})
}

// sendOrder looks at the tenure once more right before the order goes out.
func (c *Coordinator) sendOrder(order loading.Order, p *planning, term int64) loading.Result {
	allowed := false
	c.loop.call(func(now time.Time) { allowed = c.planning == p && p.tenure.MayOrder(now) })
	if !allowed {
		return loading.Result{Order: order, Reply: loading.NotDelivered}
	}
	ctx, cancel := c.orderCall()
	defer cancel()
	return c.environment.SendOrder(ctx, order, c.options.Instance, term)
}

func (c *Coordinator) orderDone(now time.Time, p *planning, result loading.Result) {
	p.orders--
	if c.planning != p {
		return
	}
	planner, ok := p.planners[result.Order.Endpoint.Service]
	if !ok {
		return
	}
	c.logResult(result)
	planner.Done(now, result)
	c.plan(now)
}

// logResult tells how an endpoint took an order; polls and reports only at the debug level.
func (c *Coordinator) logResult(result loading.Result) {
	if c.options.ObserveOrder != nil {
		c.options.ObserveOrder(result.Order.Kind.String(), result.Reply.String())
	}
	level := logrus.InfoLevel
	switch result.Reply {
	case loading.Accepted, loading.Holds, loading.Inspected:
		if result.Order.Poll || result.Report != nil {
			level = logrus.DebugLevel
		}
	default:
		level = logrus.WarnLevel
	}
	if !c.options.Log.Logger.IsLevelEnabled(level) {
		return
	}
	fields := logrus.Fields{
		"kind": result.Order.Kind.String(), "endpoint": result.Order.Endpoint.ID, "adapter": result.Order.Adapter.String(),
		"reply": result.Reply.String(), "poll": result.Order.Poll, "expected_sequence": result.Order.ExpectedSequence,
		"took_ms": result.Took.Milliseconds(),
	}
	if result.Report != nil {
		fields["reported_sequence"] = result.Report.Sequence
		fields["resident"] = len(result.Report.Adapters)
		fields["pending"] = result.Report.Pending
	}
	c.options.Log.WithFields(fields).Log(level, "order answered")
}

// noteCrowds tells the plans which endpoints have enough to do.
func (p *planning) noteCrowds() {
	for id, entry := range p.coordinator.directory.Entries() {
		if planner, ok := p.planners[entry.Service]; ok {
			planner.SetSaturation(id, balance.Full(entry, noCopySlotShare, noCopySlots), balance.Full(entry, noRequestSlotShare, noRequestSlots))
		}
	}
}

func (p *planning) dropLost(now time.Time) {
	p.members.DropLost(now, p.coordinator.memberSilence(), func(instance string) {
		for _, planner := range p.planners {
			planner.ForgetInstance(instance)
		}
	})
}

// confirmWithdrawals lets copies be unloaded that no instance uses any more.
func (p *planning) confirmWithdrawals(now time.Time) {
	for _, planner := range p.planners {
		planner.ConfirmUnused(now, func(id deployment.EndpointID, adapter deployment.Adapter, withdrawal uint64) bool {
			if entry := p.coordinator.directory.Entry(id); entry != nil && entry.OwnByAdapter[adapter] > 0 {
				return false
			}
			return p.members.Unused(wire.Copy{ID: id, Model: adapter.Model, Name: adapter.Name}, withdrawal)
		})
	}
}

// takeReport takes in one instance's report; this instance's own has no member.
func (p *planning) takeReport(now time.Time, r *wire.Report) {
	for _, id := range p.members.Take(now, r) {
		p.refreshSuspicion(now, id)
	}
	if _, reports := p.members.All()[r.Instance]; reports {
		p.coordinator.applyItems(now, r.Items)
	}
	byService := make(map[string][]loading.Demand)
	for _, one := range r.Demands {
		byService[one.Service] = append(byService[one.Service], loading.Demand{
			Adapter: deployment.Adapter{Model: one.Model, Name: one.Name},
			Waiting: one.Waiting, InTime: one.InTime, Arrivals: one.Arrivals,
		})
	}
	for name, planner := range p.planners {
		planner.Report(now, r.Instance, byService[name])
	}
	for name, rates := range ratesByService(r.Rates) {
		if planner, ok := p.planners[name]; ok {
			planner.AddRates(now, rates)
		}
	}
	for _, copied := range r.Missing {
		for _, planner := range p.planners {
			planner.NoteMissing(copied.ID)
		}
	}
}

func ratesByService(list []wire.Rate) map[string]map[deployment.Adapter]float64 {
	byService := make(map[string]map[deployment.Adapter]float64)
	for _, one := range list {
		rates, ok := byService[one.Service]
		if !ok {
			rates = make(map[deployment.Adapter]float64)
			byService[one.Service] = rates
		}
		rates[deployment.Adapter{Model: one.Model, Name: one.Name}] = one.PerSecond
	}
	return byService
}

// copyUses gives the requests in flight that use a copy, by all instances' last reports.
func (p *planning) copyUses(id deployment.EndpointID, adapter deployment.Adapter) int {
	uses := p.members.Uses(wire.Copy{ID: id, Model: adapter.Model, Name: adapter.Name})
	if entry := p.coordinator.directory.Entry(id); entry != nil {
		uses += entry.OwnByAdapter[adapter]
	}
	return uses
}

func (p *planning) refreshSuspicion(now time.Time, id deployment.EndpointID) {
	if entry := p.coordinator.directory.Entry(id); entry != nil {
		if planner, ok := p.planners[entry.Service]; ok {
			planner.SetSuspect(id, p.suspect(now, id))
		}
	}
}

// recentLoads gives the loads begun in the last window, over all services.
func (p *planning) recentLoads(now time.Time) int {
	count := 0
	for _, planner := range p.planners {
		count = max(count, planner.RecentLoads(now))
	}
	return count
}
