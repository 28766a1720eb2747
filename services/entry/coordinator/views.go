// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/relay"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// broadcast sends all members the changes if a view is due. With totals it sends the view in any case, with all requests
// in flight and all loads in progress.
func (p *planner) broadcast(now time.Time, withTotals bool) {
	if !withTotals && !p.viewDue(now) {
		return
	}
	p.views.MarkSent(now, withTotals)
	round := newViewRound(p.changesView(now, withTotals))
	round.changed = p.changedEndpoints()
	p.sentEndpoints.addChanges(round.changes, round.changed)
	p.sequence++
	round.changes.Sequence = p.sequence
	round.frame = p.encode(round.changes)
	if round.frame == nil {
		// No view is known whose encoding fails. If it does, the changes stay for the next view.
		return
	}
	round.keysSource, _ = p.keysRequest.Next(now, p.coordinator.keys.Revision(), p.members.Sources())
	round.snapshotBytesLeft = snapshotByteLimit(p.coordinator.options.LinkRate)
	for instance, m := range p.members.All() {
		if m.Link != nil {
			p.sendView(now, instance, m, round)
		}
	}
	p.plans.MarkSent()
}

// changesView returns a view of the changes since the last one. With totals the view is a heartbeat.
func (p *planner) changesView(now time.Time, withTotals bool) *wire.View {
	changes := p.baseView(now)
	if withTotals || p.gatherers.changed {
		changes.Gatherers = p.wireGatherers()
		p.gatherers.changed = false
	}
	if withTotals {
		p.addTotals(now, changes)
	}
	changed := p.plans.Changes()
	if withTotals {
		changes.Heartbeat = true
		p.addForecasts(now, changes)
	} else {
		changes.Forecasts = changed.StartedLoads
	}
	changes.Removed = changed.Removed
	p.addUnreachable(changes, withTotals)
	p.addTunnels(changes, withTotals)
	p.addLimitChanges(now, changes, withTotals)
	p.addBrittleChanges(now, changes, withTotals)
	changes.Crashes, changes.CrashDetails = wireCrashes(p.coordinator.crashes.TakeUnsent(now))
	changes.PartCrashes, changes.PartDetails = wireCrashes(p.coordinator.parts.TakeUnsent(now))
	return changes
}

// changedEndpoints returns the endpoints that changed since the last view.
func (p *planner) changedEndpoints() []*directory.EndpointStatus {
	changed := p.plans.Changes().Endpoints
	list := make([]*directory.EndpointStatus, 0, len(changed))
	for id := range changed {
		if status := p.coordinator.directory.Endpoint(id); status != nil {
			list = append(list, status)
		}
	}
	return list
}

// encode returns the frame of a view. If the view cannot be encoded, it logs the error and returns nil.
func (p *planner) encode(v *wire.View) peerstream.Frame {
	frame, err := peerstream.Encode(wire.Message{View: v})
	if err != nil {
		p.coordinator.options.Log.WithError(err).Error("a view cannot be encoded")
		return nil
	}
	return frame
}

// viewDue reports whether a view without totals is due.
func (p *planner) viewDue(now time.Time) bool {
	switch p.views.Due(now, p.coordinator.follower.Members) {
	case view.Now:
		return true
	case view.OnlyChanges:
		return !p.nothingToSend(now) || p.keysDue(now)
	default:
		return false
	}
}

// recordLinkClosed logs and counts the link of a peer that was closed because a message could not be queued.
func (c *Coordinator) recordLinkClosed(queued int64, err error) {
	if c.options.ObserveLinkClosed != nil {
		c.options.ObserveLinkClosed()
	}
	c.options.Log.WithError(err).WithField("queued_bytes", queued).Warn("the link to a peer was closed, since its send queue was full")
}

// observeRelay counts the operators' keys that are sent to a peer.
func (c *Coordinator) observeRelay(items []store.Item) {
	if len(items) == 0 || c.options.ObserveRelay == nil {
		return
	}
	c.options.ObserveRelay(follow.SizeOf(items))
}

// nothingToSend reports whether all members have the last state of the plan.
func (p *planner) nothingToSend(now time.Time) bool {
	return p.plans.Changes().Empty() && !p.coordinator.hasUnsentCrashes() && !p.members.AnyNeedsOwnView() && !p.gatherers.changed && !p.unreachableChanged && !p.tunnelsChanged &&
		len(p.limitAllocation.grants) == 0 && !p.limitsChanged(now) && !p.coordinator.brittle.changed
}

// keysToSend returns the operators' keys to send to a member now. It returns none if the bound on the keys that are in
// flight to all members does not permit them.
func (p *planner) keysToSend(now time.Time, m *member.Member) []store.Item {
	items := p.missingKeys(now, m)
	if len(items) == 0 || !p.keysInFlight.Send(now, m.Link, p.coordinator.keys.Revision(), follow.SizeOf(items)) {
		return nil
	}
	return items
}

// missingKeys returns the operators' keys that a member has lacked for longer than it would need to read them itself.
func (p *planner) missingKeys(now time.Time, m *member.Member) []store.Item {
	keys := p.coordinator.keys
	lag, behind := m.Lag.Observe(now, m.ConfigurationRevision, keys.Revision())
	if !behind || lag < member.RelayDelay {
		return nil
	}
	items := keys.After(m.ConfigurationRevision)
	if lag < relay.DelayFor(follow.SizeOf(items)) {
		return nil
	}
	return items
}

// keysAge returns the possible age of the changes that a member lacks. It is 0 if the age is not known.
func (p *planner) keysAge(now time.Time, m *member.Member) time.Duration {
	since, known := p.coordinator.keys.ChangedSince(m.ConfigurationRevision)
	if !known {
		return 0
	}
	return max(minReportedSpan, now.Sub(since))
}

// keysDue reports whether a view has to be sent now because it carries operators' keys or a request for them.
func (p *planner) keysDue(now time.Time) bool {
	for _, m := range p.members.All() {
		if m.Link == nil {
			continue
		}
		items := p.missingKeys(now, m)
		if len(items) > 0 && p.keysInFlight.HasRoom(now, m.Link, follow.SizeOf(items)) {
			return true
		}
	}
	return p.keysRequest.Due(now, p.coordinator.keys.Revision(), p.members.Sources())
}

// addTotals adds the in-flight requests of all instances to a view.
func (p *planner) addTotals(now time.Time, v *wire.View) {
	sums, age := p.totalInFlight(now)
	p.applyTotalsLocally(now, sums, age)
	v.Totals, v.TotalsAge = wireEndpointCounts(sums), age
}

func (p *planner) baseView(now time.Time) *wire.View {
	v := &wire.View{
		Planner: p.coordinator.options.Instance, Term: p.lease.Record().Term, ReadAge: now.Sub(p.coordinator.endpointsReadAt),
		Members: p.members.FleetSize(), ConfigurationRevision: p.coordinator.keys.Revision(), Resigned: p.resigned,
		ConfirmedAge: p.lease.ConfirmedAge(now), Withdrawals: p.plans.Withdrawals(), RecentLoads: p.recentLoads(now),
		TermAge: max(minReportedSpan, now.Sub(p.startedAt)), RequestsKeys: true, DescribedUpTo: p.coordinator.describedRevision,
	}
	return v
}

// minReportedSpan replaces a time span of zero in a view, because zero there means that the span is not known.
const minReportedSpan = time.Nanosecond

// addForecasts adds the adapters that are being loaded to a view. Heartbeats carry them.
func (p *planner) addForecasts(now time.Time, v *wire.View) {
	v.Forecasts, v.Backlogs = p.plans.Forecasts(now)
	p.coordinator.forecasts.Reset(v.Backlogs)
	for _, forecast := range v.Forecasts {
		p.coordinator.forecasts.Set(forecast.Key(), now.Add(forecast.Remaining))
	}
}

// fullSnapshot returns a snapshot that describes each endpoint.
func (p *planner) fullSnapshot(now time.Time) *wire.View {
	v := p.snapshotWithoutEndpoints(now)
	v.AddEndpoints(maps.Values(p.coordinator.directory.Endpoints()))
	return v
}

// snapshotWithoutEndpoints returns a snapshot to which the caller has to add the endpoints.
func (p *planner) snapshotWithoutEndpoints(now time.Time) *wire.View {
	v := p.baseView(now)
	p.addTotals(now, v)
	v.Gatherers = p.wireGatherers()
	v.Heartbeat = true
	v.IsSnapshot, v.Sequence = true, p.sequence
	v.Full = p.coordinator.endpointsKnown
	v.Unreachable = &wire.EndpointList{IDs: slices.Collect(maps.Keys(p.unreachable))}
	v.Tunnels = &wire.TunnelList{Tunnels: p.tunnels}
	v.Limits = &wire.LimitList{Limits: p.currentLimits(now)}
	if len(p.coordinator.brittle.services) > 0 {
		v.Brittle = p.coordinator.brittleList(now)
	}
	// A member removes what the snapshot does not list. Its endpoints may have been removed before this instance knew them, so that no view
	// tells of it.
	v.EndpointsRevision = max(p.endpointsRevision, p.coordinator.describedRevision)
	v.Crashes, v.CrashDetails = wireCrashes(p.coordinator.crashes.Snapshot(now))
	v.PartCrashes, v.PartDetails = wireCrashes(p.coordinator.parts.Snapshot(now))
	return v
}

// totalInFlight returns the in-flight requests of all instances and the mean age of the other instances' counts. It uses
// the gatherers' sums and, for instances that are in no sum, their own reports.
func (p *planner) totalInFlight(now time.Time) (map[deployment.EndpointID]member.InFlight, time.Duration) {
	gathered := p.gatherers.sums.Total(now)
	sums := gathered.InFlight
	for id, status := range p.coordinator.directory.Endpoints() {
		sums[id] = sums[id].Combine(ownInFlight(status))
	}
	count, age := p.members.AddInFlight(now, sums, gathered.Members)
	count, age = count+len(gathered.Members), age+gathered.Age
	return sums, age / time.Duration(max(1, count))
}

// wireEndpointCounts converts in-flight sums for a view.
func wireEndpointCounts(sums map[deployment.EndpointID]member.InFlight) []wire.EndpointCount {
	list := make([]wire.EndpointCount, 0, len(sums))
	for id, sum := range sums {
		if sum.Requests > 0 {
			list = append(list, wire.EndpointCount{ID: id, Count: sum.Requests, Unread: sum.Unread})
		}
	}
	return list
}

// wireCounts converts in-flight sums for a totals message.
func wireCounts(sums map[deployment.EndpointID]member.InFlight) []wire.Count {
	list := make([]wire.Count, 0, len(sums))
	for id, sum := range sums {
		if sum.Requests > 0 {
			list = append(list, wire.Count{ID: id, Requests: sum.Requests, Unread: sum.Unread})
		}
	}
	return list
}

// applyTotalsLocally applies the totals, with their age, and the number of members to the planner's own choice of
// endpoints.
func (p *planner) applyTotalsLocally(now time.Time, sums map[deployment.EndpointID]member.InFlight, age time.Duration) {
	c := p.coordinator
	c.resetOthersInFlight()
	c.othersInFlightAt = now.Add(-age)
	for id, sum := range sums {
		if status := c.directory.Endpoint(id); status != nil {
			c.setOthersInFlight(id, sum, ownInFlight(status))
		}
	}
	c.follower.Members = p.members.FleetSize()
	c.budget.SetMembers(p.members.FleetSize())
}
