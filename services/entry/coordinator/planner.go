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

// planner is the state of the instance that holds the planner's lease.
type planner struct {
	coordinator *Coordinator
	lease       *lease.Lease
	// endpointsFromStoreOnly reports that all endpoint data known before the term was read from the store.
	endpointsFromStoreOnly bool
	// endpointsRevision is the store revision up to which the endpoints' keys were read in this term.
	endpointsRevision int64
	plans             *plan.Plans
	members           *member.Table
	views             view.Schedule
	gatherers         gatherers
	// sentEndpoints is the state of the endpoints according to the views that were sent; sequence is the number of the
	// last view.
	sentEndpoints sentEndpoints
	sequence      uint64
	// startedAt is when this instance began to plan.
	startedAt time.Time
	// keysInFlight bounds the operators' keys that are being sent to members. keysRequest selects the member that is asked
	// for keys that this instance lacks.
	keysInFlight *relay.Window[*member.Link]
	keysRequest  relay.Request
	// steppingDown is set before the lease is given up. No order is started after that.
	steppingDown bool
	// resigned makes views announce to the members that no order follows in this term.
	resigned bool
	// formerTermLoads is what is known of the former planner's loads.
	formerTermLoads formerLoads
	// ordersInFlight is the number of orders that have not ended.
	ordersInFlight int
	// nextPollAt is when a plan is due because a load is expected to end.
	nextPollAt time.Time
	// unreachable are the endpoints that refuse the connections of several instances. unreachableChanged reports that no
	// view has carried them yet.
	unreachable        map[deployment.EndpointID]bool
	unreachableChanged bool
	// tunnels are the instances through which others reach endpoints. tunnelsChanged reports that no view has carried them
	// yet.
	tunnels         []wire.Tunnel
	tunnelsChanged  bool
	limitAllocation limitAllocation
	limitKeeper     limitKeeper
	// plannedAt is when the last plan was made. planDeferred reports that a plan waits for the pause between plans to end.
	plannedAt    time.Time
	planDeferred bool
}

// memberSilence returns the time without a report after which an instance counts as lost.
func (c *Coordinator) memberSilence() time.Duration {
	return member.SilenceLimit(c.follower.Members)
}

// oldestUsableVersion returns the oldest version of an adapter on which requests may still begin.
func (c *Coordinator) oldestUsableVersion(now time.Time, adapter deployment.Adapter) int64 {
	oldest, _ := c.versions.FormerVersion(now, adapter, c.options.VersionLimit)
	return oldest
}

func newPlanner(c *Coordinator, now time.Time, held *lease.Lease, formerTermLoads formerLoads) *planner {
	members := member.NewTable()
	options := plan.Options{
		LoadWindow: c.options.LoadWindow, LoadTolerance: c.options.LoadTolerance, LoadSlack: c.options.LoadSlack,
		Random: c.options.Random, OldestUsable: c.oldestUsableVersion, Term: held.Record().Term, TermStart: now, ExpectedFleetSize: c.follower.Members,
	}
	p := &planner{
		coordinator: c, lease: held, members: members, startedAt: now, formerTermLoads: formerTermLoads,
		keysInFlight:    relay.NewWindow[*member.Link](relay.WindowFor(c.options.LinkRate)),
		gatherers:       gatherers{sums: gather.NewSums()},
		sentEndpoints:   make(sentEndpoints),
		limitAllocation: limitAllocation{allocator: limit.NewAllocator()},
		plans:           plan.New(options, c.directory, members, formerTermLoads.loads),
	}
	p.inheritGatherers(now, c.gathering.gatherers)
	if configuration := c.current.Load(); configuration != nil {
		p.plans.SetConfiguration(now, configuration, c.versions.All())
	}
	return p
}

// planPauseStep is by how much the pause between two plans grows with each report.MaxUnstretchedMembers instances beyond the first
// ones. A longer pause saves processor time of the planner, and a shorter one sends orders sooner. Each report triggers a
// plan, which reviews all endpoints. In a large fleet the plans of a new planner would keep it from confirming its lease.
const planPauseStep = 500 * time.Microsecond

// planPause returns the pause between two plans. It is 0 in a small fleet.
func planPause(members int) time.Duration {
	return report.Stretch(planPauseStep, members) - planPauseStep
}

// plan sends all orders that are possible now and a view of the changes. If the pause since the last plan is not over, it
// does so at the end of the pause.
func (c *Coordinator) plan(now time.Time) {
	p := c.planner
	if p == nil || p.planDeferred {
		return
	}
	if remaining := p.plannedAt.Add(planPause(p.members.FleetSize())).Sub(now); remaining > 0 {
		p.planDeferred = true
		time.AfterFunc(remaining, func() { c.loop.Post(func(now time.Time) { c.planAfterPause(now, p) }) })
		return
	}
	c.planNow(now)
}

// planAfterPause makes the deferred plan, unless its term is over.
func (c *Coordinator) planAfterPause(now time.Time, p *planner) {
	p.planDeferred = false
	if c.planner == p {
		c.planNow(now)
	}
}

// planNow makes a plan at once. This instance must be the planner.
func (c *Coordinator) planNow(now time.Time) {
	p := c.planner
	p.plannedAt = now
	p.plans.Review(now, c.memberSilence())
	p.updateUnreachable(now)
	p.updateTunnels()
	mayOrder := func() bool { return !p.steppingDown && p.lease.MayOrder(now) }
	noteForecast := func(key deployment.ServiceAdapter, remaining time.Duration) {
		c.forecasts.Set(key, now.Add(remaining))
	}
	p.plans.Order(now, mayOrder, c.startOrder, noteForecast)
	p.chooseGatherers(now)
	p.allocateLimits(now)
	p.keepLimits(now)
	p.broadcast(now, p.views.TotalsDue(now, c.follower.Members))
	p.sendTotals(now)
	c.reviewWaiters(now)
	if mayOrder() {
		c.schedulePoll(now)
	}
}

// schedulePoll schedules a plan for the time at which the next load is expected to have ended. It must not be called while
// no order may be sent: polls are orders, so the time of the next poll would have passed, and each plan would trigger the
// next one at once.
func (c *Coordinator) schedulePoll(now time.Time) {
	p := c.planner
	if now.Before(p.nextPollAt) {
		return
	}
	next, ok := p.plans.NextPoll(now, tickInterval)
	if !ok {
		return
	}
	delay := max(next.Sub(now), minPollDelay)
	p.nextPollAt = now.Add(delay)
	time.AfterFunc(delay, func() { c.loop.Post(c.plan) })
}

// minPollDelay is the shortest delay before a plan that polls a load.
const minPollDelay = time.Millisecond

// startOrder sends an order on a goroutine of its own.
func (c *Coordinator) startOrder(order loading.Order) {
	p := c.planner
	p.ordersInFlight++
	term := p.lease.Record().Term
	c.startTask(func() {
		started := c.options.Now()
		result := c.sendOrder(order, p, term)
		result.Took = c.options.Now().Sub(started)
		c.loop.Post(func(now time.Time) { c.finishOrder(now, p, result) })
	})
}

// sendOrder sends an order if the lease still permits it immediately before.
func (c *Coordinator) sendOrder(order loading.Order, p *planner, term int64) loading.Result {
	allowed := false
	c.loop.Call(func(now time.Time) { allowed = c.planner == p && p.lease.MayOrder(now) })
	if !allowed {
		return loading.Result{Order: order, Reply: loading.NotDelivered}
	}
	ctx, cancel := c.orderContext()
	defer cancel()
	return c.environment.SendOrder(ctx, order, c.options.Instance, term)
}

// orderContext returns the context that bounds one order. The bound lets a later lease holder compute when the last order
// has arrived.
func (c *Coordinator) orderContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.context, c.options.Lease.OrderTimeout)
}

// finishOrder applies the result of an order. The result of an order from an earlier term, or for a service that is no
// longer planned, is neither logged nor counted.
func (c *Coordinator) finishOrder(now time.Time, p *planner, result loading.Result) {
	p.ordersInFlight--
	if c.planner != p {
		return
	}
	if !p.plans.HasService(result.Order.Endpoint.Service) {
		return
	}
	c.logOrderResult(result)
	p.plans.Done(now, result)
	c.plan(now)
}

// logOrderResult logs and counts how an endpoint answered an order. Polls and reports are logged at the debug level only.
func (c *Coordinator) logOrderResult(result loading.Result) {
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

// applyReport applies the report of a member or of this instance itself.
func (p *planner) applyReport(now time.Time, r *wire.Report) {
	if p.plans.ApplyMemberReport(now, r) {
		p.coordinator.applyItems(now, p.coordinator.keysCompleteness.Origin(follow.FromMember, r.ConfigurationRevision), r.Items)
	}
	p.plans.ApplyDemand(now, r)
	p.coordinator.mergeCrashes(now, r.Crashes, r.CrashDetails, true)
	p.coordinator.parts.Merge(now, tableCrashes(r.PartCrashes, r.PartDetails), true)
	p.mergeReportedLimits(now, r)
	p.mergeReportedBrittle(now, r)
	p.coordinator.mergeDraining(now, r.DrainingEndpoints)
	p.mergeFormerLoads(now, r.FormerLoads)
}
