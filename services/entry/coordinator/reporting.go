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

// sendReport sends the report of this instance to the planner or to this instance's own plan.
func (c *Coordinator) sendReport(now time.Time) {
	if c.planner == nil && c.follower.stream == nil {
		c.reportSchedule.Skip(now)
		c.demand.FlushToRates(now)
		// A new planner reads the endpoints' load reports itself.
		c.missing = nil
		return
	}
	r := c.buildReport(now)
	c.reportSchedule.MarkSent(now)
	if c.planner != nil {
		c.planner.applyReport(now, r)
		c.plan(now)
		return
	}
	if err := c.follower.stream.Send(wire.Message{Report: r}); err != nil {
		c.options.Log.WithError(err).Warn("a report to the planner was dropped")
	}
}

func (c *Coordinator) buildReport(now time.Time) *wire.Report {
	r := &wire.Report{
		Instance: c.options.Instance, WithdrawalsSeen: c.follower.Withdrawals, ConfigurationRevision: c.keys.Revision(),
		Missing: c.missing, Leaving: c.leaving.Load(),
		CutOff:       c.isCutOff(),
		StoreReadAge: now.Sub(c.storeReadAt), Forwarder: c.gathering.forwarder, NeedsSnapshot: c.takeSnapshotRequest(now),
	}
	r.Demands, r.Pinned = c.buildDemands(now)
	if r.NeedsSnapshot || c.follower.ratesDue {
		r.DescribedUpTo = c.describedRevision
	}
	r.Recalled = c.recalledCopies()
	c.missing = nil
	c.follower.inFlight = make(map[deployment.EndpointID]member.InFlight, c.directory.Size())
	for id, status := range c.directory.Endpoints() {
		if status.OwnRequests > 0 {
			inFlight := ownInFlight(status)
			r.InFlight = append(r.InFlight, wire.EndpointCount{ID: id, Count: inFlight.Requests, Unread: inFlight.Unread})
			c.follower.inFlight[id] = inFlight
		}
		if (status.Health.Ejected(now) && !c.isCutOff()) || status.IsResting(now) {
			r.Suspects = append(r.Suspects, id)
		}
		if status.Health.Unreachable(now) && !c.isCutOff() {
			r.Unreachable = append(r.Unreachable, id)
		}
		for adapter, count := range status.OwnByAdapter {
			r.InUse = append(r.InUse, wire.CopyCount{ID: id, Model: adapter.Model, Name: adapter.Name, Count: count})
		}
	}
	r.Crashes, r.CrashDetails = c.crashesToReport(now, c.crashes)
	r.PartCrashes, r.PartDetails = c.crashesToReport(now, c.parts)
	c.addLimitsToReport(now, r)
	c.addBrittleToReport(now, r)
	r.DrainingEndpoints = c.drainingEndpoints()
	if c.follower.ratesDue {
		r.Rates, r.FormerLoads = c.demand.Rates(now), c.formerLoadsToReport(now)
		r.EndpointsRead = c.endpointsReadRevision
		r.Contact = &wire.Contact{Hall: c.options.Hall, Address: wire.Address{AddrPort: c.options.PeerAddress}, LinkRate: c.options.LinkRate, Tunnel: wire.Address{AddrPort: c.options.TunnelAddress}}
		c.follower.ratesDue = false
	}
	if probe, ok := c.follower.NextProbe(now); ok && c.follower.stream != nil {
		r.Probe = probe
	}
	if c.takeKeysForReport(now) {
		r.Items = c.keys.After(c.follower.PlannerRevision)
		c.observeRelay(r.Items)
	}
	return r
}

// ownInFlight returns this instance's requests in flight at an endpoint.
func ownInFlight(status *directory.EndpointStatus) member.InFlight {
	return member.InFlight{Requests: status.OwnRequests, Unread: status.OwnUnread()}
}

// takeKeysForReport reports whether the next report carries the operators' keys that the planner lacks, and records them
// as sent if so. The planner has to request them. For a planner of a version that does not request keys, it must have
// lacked them for long enough.
func (c *Coordinator) takeKeysForReport(now time.Time) bool {
	if c.follower.stream == nil || !c.follower.viewReceived {
		c.follower.plannerKeysLag = member.Lag{}
		return false
	}
	if c.follower.PlannerRequestsKeys {
		requested := c.follower.keysRequested
		c.follower.keysRequested = false
		return requested
	}
	lag, behind := c.follower.plannerKeysLag.Observe(now, c.follower.PlannerRevision, c.keys.Revision())
	if !behind || lag <= member.RelayDelay || now.Sub(c.follower.keysSentAt) < relay.ResendAfter {
		return false
	}
	c.follower.keysSentAt = now
	return true
}

// buildDemands returns the demand for adapters, and that of requests that only the endpoints of one software may run.
func (c *Coordinator) buildDemands(now time.Time) ([]wire.Demand, []wire.PinnedDemand) {
	collection := c.demand.Collect(now, c.waiters.Len())
	for _, w := range c.waiters.All() {
		collection.AddWaiting(w.Key(), w.Request, c.boundSoftware(w.Request))
	}
	return collection.List(), collection.Pinned()
}
