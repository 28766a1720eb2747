// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// loadPollInterval is the pause between two polls for the end of a load. A shorter pause notices the end sooner and
// costs the planner and the endpoint more calls.
const loadPollInterval = 12 * time.Millisecond

// unloadPollInterval is the pause between two polls for the end of an unload. A shorter pause frees a place sooner at
// the cost of more calls.
const unloadPollInterval = 100 * time.Millisecond

// reportInterval is the pause between two reads of the report of an endpoint that left orders unanswered. A shorter
// pause notices the end of its loads sooner at the cost of more calls.
const reportInterval = 80 * time.Millisecond

// Next returns the next order to send, if there is one. No other order is sent to the endpoint until Done.
func (p *Planner) Next(now time.Time) (Order, bool) {
	for _, decide := range []func(time.Time) (Order, bool){p.nextInspection, p.nextPoll, p.nextUnload, p.nextReplacement, p.nextModelLoad, p.nextLoad} {
		if order, ok := decide(now); ok {
			p.endpoints[order.Endpoint.ID].orderInFlight = true
			return order, true
		}
	}
	return Order{}, false
}

func (p *Planner) order(kind OrderKind, plan *endpointPlan, adapter deployment.Adapter) Order {
	return Order{Kind: kind, Endpoint: plan.endpoint, Adapter: adapter, ExpectedSequence: plan.tracker.sequence}
}

// available reports whether an order may be sent to an endpoint now.
func (e *endpointPlan) available(now time.Time) bool {
	return !e.orderInFlight && !now.Before(e.pausedUntil) && e.endpoint.State == deployment.Ready
}

// availableWithoutInspection reports whether an order may be sent to an endpoint now without reading its report
// first.
func (e *endpointPlan) availableWithoutInspection(now time.Time) bool {
	return e.available(now) && !e.needsInspection
}

func (p *Planner) nextInspection(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if plan.needsInspection && plan.available(now) {
			return p.order(Inspect, plan, deployment.Adapter{}), true
		}
	}
	return Order{}, false
}

func (p *Planner) nextPoll(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if !plan.availableWithoutInspection(now) {
			continue
		}
		for adapter, c := range plan.copies {
			if !c.isPolled() || now.Before(c.pollAt) {
				continue
			}
			if now.Before(plan.unresponsiveUntil) || len(plan.copies)+plan.countCopies(copyReplacing) > p.capacity(&plan.endpoint) {
				// If the endpoint does not know the load, it treats a poll as a new load order.
				return p.order(Inspect, plan, deployment.Adapter{}), true
			}
			order := p.order(Load, plan, adapter)
			if c.state == copyReplacing {
				order = p.replacementOrder(plan, adapter, c)
			}
			order.Poll = true
			c.lastPollAt = now
			return order, true
		}
	}
	return Order{}, false
}

// nextUnload orders the unload of copies that are withdrawn and confirmed as unused, unless the endpoint refuses it.
func (p *Planner) nextUnload(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if !plan.availableWithoutInspection(now) {
			continue
		}
		for adapter, c := range plan.copies {
			if c.state != copyUnloading || now.Before(c.pollAt) || (plan.refusesUnloads() && !c.unloadAccepted) {
				continue
			}
			order := p.order(Unload, plan, adapter)
			order.Poll = c.unloadAccepted
			return order, true
		}
	}
	return Order{}, false
}

// NextPoll returns the earliest time at which a load is to be polled; zero if there is none.
func (p *Planner) NextPoll() time.Time {
	var next time.Time
	for _, plan := range p.endpoints {
		if plan.orderInFlight || plan.needsInspection {
			continue
		}
		for _, c := range plan.copies {
			if c.isPolled() && (next.IsZero() || c.pollAt.Before(next)) {
				next = c.pollAt
			}
		}
	}
	return next
}
