// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// replacementPollInterval is the pause between two polls for the end of a replacement, which waits for running requests.
// A shorter pause offers the new copy sooner at the cost of more calls.
const replacementPollInterval = 250 * time.Millisecond

// RecordRecall records that an instance recalled a request from an endpoint because it had not begun on the endpoint's
// copy of an adapter in time.
//
// Most endpoints drop a recalled request, because its connection is closed. Some keep it and begin it later, which only
// an order for the adapter prevents. If the copy is not in use, it is unloaded. Otherwise it is replaced: the endpoint
// waits for the requests that run and answers the others as not run.
func (p *Planner) RecordRecall(id deployment.EndpointID, adapter deployment.Adapter) {
	plan, ok := p.endpoints[id]
	if !ok {
		return
	}
	// The report may come late: a copy of the version to be served is not concerned, and evicted as any other.
	if c, ok := plan.copies[adapter]; ok && c.version < p.wantedVersion(adapter) {
		c.recalledVersion = c.version
	}
}

// isRecalled reports whether a request was recalled from the version that the endpoint holds.
func (c *copyPlan) isRecalled() bool {
	return c.recalledVersion != 0 && c.recalledVersion == c.version
}

// nextReplacement orders the replacement of a copy that is in use and from which a request was recalled. An endpoint has
// one replacement in progress at a time.
func (p *Planner) nextReplacement(now time.Time) (Order, bool) {
	for _, plan := range p.endpoints {
		if plan.refusesUnloads() || !p.canOrderLoad(now, plan) {
			continue
		}
		for adapter, c := range plan.copies {
			if !p.isReplaceable(now, adapter, c) {
				continue
			}
			c.startReplacement(now, p.wantedVersion(adapter))
			return p.replacementOrder(plan, adapter, c), true
		}
	}
	return Order{}, false
}

func (p *Planner) isReplaceable(now time.Time, adapter deployment.Adapter, c *copyPlan) bool {
	wanted := p.wantedVersion(adapter)
	return c.state == copyWithdrawn && c.isRecalled() && c.version < wanted &&
		!p.loadHeldBack(now, adapter, wanted)
}

// replacementOrder returns the order for a replacement, which is also its poll.
func (p *Planner) replacementOrder(plan *endpointPlan, adapter deployment.Adapter, c *copyPlan) Order {
	order := p.order(Load, plan, adapter)
	order.Version = c.version
	return order
}

func (c *copyPlan) startReplacement(now time.Time, version int64) {
	c.state, c.since, c.pollAt = copyReplacing, now, now.Add(replacementPollInterval)
	c.replacedVersion, c.version = c.version, version
	// The duration depends on the running requests and says nothing about the weight store.
	c.cold, c.startKnown = false, false
}

// cancelReplacement returns a copy to the state before its replacement was ordered.
func (c *copyPlan) cancelReplacement(now time.Time) {
	c.state, c.since, c.version = copyWithdrawn, now, c.replacedVersion
}

// applyReplacement merges a report of a copy that is being replaced and that the endpoint holds in the given version. While
// a replacement waits for running requests, the report need not list it as loading. If it was lost, its poll orders it
// again, which does not raise the sequence: the endpoint counts no order that it has accepted before.
func (c *copyPlan) applyReplacement(now time.Time, version int64) {
	if version >= c.version {
		c.state, c.since, c.version = copyResident, now, version
	}
}

// isPolled reports whether a load of the copy was ordered and its end is polled.
func (c *copyPlan) isPolled() bool {
	return c.state == copyLoading || c.state == copyReplacing
}

// pollInterval returns the pause between two polls for the end of the copy's load.
func (c *copyPlan) pollInterval() time.Duration {
	if c.state == copyReplacing {
		return replacementPollInterval
	}
	return loadPollInterval
}
