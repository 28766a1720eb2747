// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/relay"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// sendReport tells the planner, or this instance's own plan, what is asked here.
func (c *Coordinator) sendReport(now time.Time) {
	if c.planning == nil && c.following.stream == nil {
		c.reports.Skip(now)
		c.demand.Untold(now)
		// A planner that comes reads the endpoints' reports itself.
		c.missing = nil
		return
	}
	built := c.buildReport(now)
	c.reports.Sent(now)
	if c.planning != nil {
		c.planning.takeReport(now, built)
		c.plan(now)
		return
	}
	if err := c.following.stream.Send(wire.Message{Report: built}); err != nil {
		c.options.Log.WithError(err).Warn("a report to the planner was dropped")
	}
}

func (c *Coordinator) buildReport(now time.Time) *wire.Report {
	built := &wire.Report{
		Instance: c.options.Instance, WithdrawalsSeen: c.following.Withdrawals, ConfigurationRevision: c.keys.Revision(),
		Demands: c.buildDemands(now), Missing: c.missing, Leaving: c.leaving.Load(),
		StoreReadAge: now.Sub(c.storeReadAt), FedBy: c.gathering.fedBy, NeedsWhole: c.asksForWhole(now),
	}
	if built.NeedsWhole || c.following.ratesDue {
		built.DescribedUpTo = c.describedUpTo
	}
	c.missing = nil
	c.following.own = make(map[deployment.EndpointID]member.InFlight, c.directory.Size())
	for id, status := range c.directory.Endpoints() {
		if status.OwnRequests > 0 {
			own := ownInFlight(status)
			built.InFlight = append(built.InFlight, wire.EndpointCount{ID: id, Count: own.Requests, Unread: own.Unread})
			c.following.own[id] = own
		}
		if status.Health.Ejected(now) || status.IsResting(now) {
			built.Suspects = append(built.Suspects, id)
		}
		if status.Health.Unreached(now) {
			built.Unreached = append(built.Unreached, id)
		}
		for adapter, count := range status.OwnByAdapter {
			built.InUse = append(built.InUse, wire.CopyCount{ID: id, Model: adapter.Model, Name: adapter.Name, Count: count})
		}
	}
	built.Crashes = c.crashesToReport(now)
	c.addLimits(now, built)
	built.SaidLeaving = c.leavingToReport()
	if c.following.ratesDue {
		built.Rates, built.FormerLoads = c.demand.Rates(now), c.knownFormerLoads(now)
		built.EndpointsRead = c.readUpTo
		built.Contact = &wire.Contact{Hall: c.options.Hall, Address: wire.Address{AddrPort: c.options.PeerAddress}, LinkRate: c.options.LinkRate}
		c.following.ratesDue = false
	}
	if probe, ok := c.following.NextProbe(now); ok && c.following.stream != nil {
		built.Probe = probe
	}
	if c.reportCarriesKeys(now) {
		built.Items = c.keys.After(c.following.PlannerRevision)
		c.observeRelay(built.Items)
	}
	return built
}

// ownInFlight is what this instance has in flight at an endpoint.
func ownInFlight(status *directory.EndpointStatus) member.InFlight {
	return member.InFlight{Requests: status.OwnRequests, Unread: status.OwnUnread()}
}

// reportCarriesKeys tells whether the next report carries the operators' keys that the planner lacks, and counts them as sent if it
// does: when the planner asked for them, and, where it is of a version that does not ask, when it has lacked them for long enough.
func (c *Coordinator) reportCarriesKeys(now time.Time) bool {
	if c.following.stream == nil || !c.following.heard {
		c.following.plannerLag = member.Lag{}
		return false
	}
	if c.following.PlannerAsks {
		due := c.following.keysAsked
		c.following.keysAsked = false
		return due
	}
	lag, behind := c.following.plannerLag.Observe(now, c.following.PlannerRevision, c.keys.Revision())
	if !behind || lag <= member.RelayAfter || now.Sub(c.following.keysSentAt) < relay.Again {
		return false
	}
	c.following.keysSentAt = now
	return true
}

func (c *Coordinator) buildDemands(now time.Time) []wire.Demand {
	collection := c.demand.Collect(now, c.waiters.Len())
	for _, w := range c.waiters.All() {
		collection.AddWaiting(w.Key(), w.Request)
	}
	return collection.List()
}
