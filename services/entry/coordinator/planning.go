// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/gather"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/plan"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/relay"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
	"github.com/shelfledge/shelfledge/services/entry/limit"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// planning is the state of the instance that holds the planner's lease.
type planning struct {
	coordinator *Coordinator
	lease       *lease.Lease
	// readBefore tells that all that was known of endpoints before the term was read from the store.
	readBefore bool
	// endpointsRevision is the revision up to which the endpoints' keys were read.
	endpointsRevision int64
	plans             *plan.Plans
	members           *member.Table
	views             view.Schedule
	gatherers         gatherers
	// told is what views told of endpoints; sequence is the number of the last one.
	told     told
	sequence uint64
	// since is when this instance began to plan.
	since time.Time
	// keysUnderWay bounds the operators' keys under way to members, keysRequest is whom this instance asks for keys that it lacks.
	keysUnderWay *relay.Window[*member.Link]
	keysRequest  relay.Request
	// givingUp is set before the lease is given up: no order is started any more.
	givingUp bool
	// resigned tells the members that no order follows in this term.
	resigned bool
	// former is what is known of the former planner's loads.
	former formerLoads
	// orders is the number of orders under way.
	orders int
	// wakeAt is when a plan is due for a load that ends.
	wakeAt time.Time
	// unreached are the endpoints that refuse several instances' connections; unreachedChanged says that they were not told yet.
	unreached        map[deployment.EndpointID]bool
	unreachedChanged bool
	allocation       allocation
	// plannedAt is when the last plan was made, putOff that one waits for its pause.
	plannedAt time.Time
	putOff    bool
}

// memberSilence is after how long without a report an instance counts as lost.
func (c *Coordinator) memberSilence() time.Duration {
	return member.SilenceLimit(c.following.Members)
}

func newPlanning(c *Coordinator, now time.Time, held *lease.Lease, former formerLoads) *planning {
	members := member.NewTable()
	options := plan.Options{
		LoadWindow: c.options.LoadWindow, LoadTolerance: c.options.LoadTolerance, LoadSlack: c.options.LoadSlack,
		Random: c.options.Random, Term: held.Record().Term, TermStart: now, ExpectedFleetSize: c.following.Members,
	}
	p := &planning{
		coordinator: c, lease: held, members: members, since: now, former: former,
		keysUnderWay: relay.NewWindow[*member.Link](relay.WindowFor(c.options.LinkRate)),
		gatherers:    gatherers{sums: gather.NewSums()},
		told:         make(told),
		allocation:   allocation{allocator: limit.NewAllocator()},
		plans:        plan.New(options, c.directory, members, former.loads),
	}
	p.inheritGatherers(now, c.gathering.gatherers)
	if configuration := c.current.Load(); configuration != nil {
		p.plans.SetConfiguration(now, configuration, c.versions.All())
	}
	return p
}

// planPace is by how much the pause between two plans grows with each report.MaxUnstretchedMembers instances beyond the first ones: longer spares
// the planner's processor, shorter orders sooner. Each report brings a plan, which looks at all endpoints; those of a new planner
// of a large fleet would keep it from confirming its lease.
const planPace = 500 * time.Microsecond

// planPause is the pause between two plans in a fleet; a small one plans at once.
func planPause(members int) time.Duration {
	return report.Stretch(planPace, members) - planPace
}

// plan starts all orders that may be sent now and tells the members what changed. It does so a little later where it was just done.
func (c *Coordinator) plan(now time.Time) {
	p := c.planning
	if p == nil || p.putOff {
		return
	}
	if rest := p.plannedAt.Add(planPause(p.members.FleetSize())).Sub(now); rest > 0 {
		p.putOff = true
		time.AfterFunc(rest, func() { c.loop.Post(func(now time.Time) { c.planAfterPause(now, p) }) })
		return
	}
	c.planNow(now)
}

// planAfterPause makes the plan that was put off, unless its term is over.
func (c *Coordinator) planAfterPause(now time.Time, p *planning) {
	p.putOff = false
	if c.planning == p {
		c.planNow(now)
	}
}

// planNow makes a plan; this instance plans.
func (c *Coordinator) planNow(now time.Time) {
	p := c.planning
	p.plannedAt = now
	p.plans.Review(now, c.memberSilence())
	p.reviewUnreached(now)
	mayOrder := func() bool { return !p.givingUp && p.lease.MayOrder(now) }
	begun := func(key deployment.ServiceAdapter, remaining time.Duration) {
		c.forecasts.Set(key, now.Add(remaining))
	}
	p.plans.Order(now, mayOrder, c.startOrder, begun)
	p.nameGatherers(now)
	p.allocateLimits(now)
	p.broadcast(now, p.views.TotalsDue(now, c.following.Members))
	p.tellTotals(now)
	c.reviewWaiters(now)
	if mayOrder() {
		c.wakeForPoll(now)
	}
}

// wakeForPoll plans again when the next load is expected to have ended. Where no order may be given, nothing can be asked: the
// time of the next poll is past then, and each plan would bring the next one at once.
func (c *Coordinator) wakeForPoll(now time.Time) {
	p := c.planning
	if now.Before(p.wakeAt) {
		return
	}
	next, ok := p.plans.NextPoll(now, tickPace)
	if !ok {
		return
	}
	span := max(next.Sub(now), leastWake)
	p.wakeAt = now.Add(span)
	time.AfterFunc(span, func() { c.loop.Post(c.plan) })
}

// leastWake is the least pause before a plan for a load that ends.
const leastWake = time.Millisecond

// startOrder sends an order beside the control goroutine.
func (c *Coordinator) startOrder(order loading.Order) {
	p := c.planning
	p.orders++
	term := p.lease.Record().Term
	c.run(func() {
		started := c.options.Now()
		result := c.sendOrder(order, p, term)
		result.Took = c.options.Now().Sub(started)
		c.loop.Post(func(now time.Time) { c.orderDone(now, p, result) })
	})
}

// sendOrder looks at the lease once more right before the order goes out.
func (c *Coordinator) sendOrder(order loading.Order, p *planning, term int64) loading.Result {
	allowed := false
	c.loop.Call(func(now time.Time) { allowed = c.planning == p && p.lease.MayOrder(now) })
	if !allowed {
		return loading.Result{Order: order, Reply: loading.NotDelivered}
	}
	ctx, cancel := c.orderCall()
	defer cancel()
	return c.environment.SendOrder(ctx, order, c.options.Instance, term)
}

// orderCall bounds one order, so that a later holder knows when the last one has arrived.
func (c *Coordinator) orderCall() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.context, c.options.Lease.OrderTimeout)
}

// orderDone takes in the end of an order. One of an earlier term, or of a service that is planned no more, is neither
// logged nor counted.
func (c *Coordinator) orderDone(now time.Time, p *planning, result loading.Result) {
	p.orders--
	if c.planning != p {
		return
	}
	if !p.plans.HasService(result.Order.Endpoint.Service) {
		return
	}
	c.logResult(result)
	p.plans.Done(now, result)
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

// takeReport takes in one instance's report, or this instance's own.
func (p *planning) takeReport(now time.Time, r *wire.Report) {
	if p.plans.ApplyMemberReport(now, r) {
		p.coordinator.applyItems(now, p.coordinator.complete.Origin(follow.FromMember, r.ConfigurationRevision), r.Items)
	}
	p.plans.ApplyDemand(now, r)
	p.coordinator.takeCrashes(now, r.Crashes, true)
	p.takeLimits(now, r)
	p.coordinator.takeLeaving(now, r.LeavingEndpoints)
	p.takeFormerLoads(now, r.FormerLoads)
}
