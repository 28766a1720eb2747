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

// broadcast tells all members what changed, if a view is due; with totals it goes out in any case and names all requests in
// flight and all loads under way.
func (p *planning) broadcast(now time.Time, withTotals bool) {
	if !withTotals && !p.viewDue(now) {
		return
	}
	p.views.Sent(now, withTotals)
	round := newViewRound(p.changesView(now, withTotals))
	round.changed = p.changedEndpoints()
	p.told.tell(round.changes, round.changed)
	p.sequence++
	round.changes.Sequence = p.sequence
	round.frame = p.encode(round.changes)
	if round.frame == nil {
		// No value of a view is known that makes its encoding fail; what changed stays for the next one.
		return
	}
	round.asked, _ = p.keysRequest.Next(now, p.coordinator.keys.Revision(), p.members.Sources())
	round.wholeBytes = wholeShare(p.coordinator.options.LinkRate)
	for instance, m := range p.members.All() {
		if m.Link != nil {
			p.sendView(now, instance, m, round)
		}
	}
	p.plans.Sent()
}

// changesView makes the view of what changed since the last one, with totals a heartbeat.
func (p *planning) changesView(now time.Time, withTotals bool) *wire.View {
	changes := p.baseView(now)
	if withTotals || p.gatherers.changed {
		changes.Gatherers = p.namedGatherers()
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
		changes.Forecasts = changed.Begun
	}
	changes.Removed = changed.Removed
	p.tellUnreached(changes, withTotals)
	p.tellLimits(now, changes, withTotals)
	changes.Crashes = toldCrashes(p.coordinator.crashes.TakeUnsent(now))
	return changes
}

// changedEndpoints gives the endpoints that changed since the last view.
func (p *planning) changedEndpoints() []*directory.EndpointStatus {
	changed := p.plans.Changes().Endpoints
	list := make([]*directory.EndpointStatus, 0, len(changed))
	for id := range changed {
		if status := p.coordinator.directory.Endpoint(id); status != nil {
			list = append(list, status)
		}
	}
	return list
}

// encode gives the frame of a view; nil, which is logged, where it cannot be encoded.
func (p *planning) encode(v *wire.View) peerstream.Frame {
	frame, err := peerstream.Encode(wire.Message{View: v})
	if err != nil {
		p.coordinator.options.Log.WithError(err).Error("a view cannot be encoded")
		return nil
	}
	return frame
}

// viewDue tells whether a view without totals goes out now.
func (p *planning) viewDue(now time.Time) bool {
	switch p.views.Due(now, p.coordinator.following.Members) {
	case view.Now:
		return true
	case view.OnlyChanges:
		return !p.noChanges(now) || p.viewCarriesKeys(now)
	default:
		return false
	}
}

// noteLinkClosed logs and counts a peer's link that was given up since a message could not be queued.
func (c *Coordinator) noteLinkClosed(queued int64, err error) {
	if c.options.ObserveLinkClosed != nil {
		c.options.ObserveLinkClosed()
	}
	c.options.Log.WithError(err).WithField("queued_bytes", queued).Warn("a peer's link was closed, since too much waits for it")
}

// observeRelay counts the operators' keys that are sent to a peer.
func (c *Coordinator) observeRelay(items []store.Item) {
	if len(items) == 0 || c.options.ObserveRelay == nil {
		return
	}
	c.options.ObserveRelay(follow.SizeOf(items))
}

// noChanges tells whether all members have the plan's last state.
func (p *planning) noChanges(now time.Time) bool {
	return p.plans.Changes().Empty() && !p.coordinator.crashes.HasUnsent() && !p.members.NeedOwn() && !p.gatherers.changed && !p.unreachedChanged &&
		len(p.allocation.grants) == 0 && !p.limitsChanged(now)
}

// itemsFor gives the operators' keys that are passed on to a member now, as far as what is under way to all members allows it.
func (p *planning) itemsFor(now time.Time, m *member.Member) []store.Item {
	items := p.lackedBy(now, m)
	if len(items) == 0 || !p.keysUnderWay.Send(now, m.Link, p.coordinator.keys.Revision(), follow.SizeOf(items)) {
		return nil
	}
	return items
}

// lackedBy gives the operators' keys that a member has lacked for longer than it would need to read them itself.
func (p *planning) lackedBy(now time.Time, m *member.Member) []store.Item {
	keys := p.coordinator.keys
	lag, behind := m.Lag.Observe(now, m.ConfigurationRevision, keys.Revision())
	if !behind || lag < member.RelayAfter {
		return nil
	}
	items := keys.After(m.ConfigurationRevision)
	if lag < relay.PatienceFor(follow.SizeOf(items)) {
		return nil
	}
	return items
}

// keysAge is how old the changes may be that a member lacks; 0 where that is not known.
func (p *planning) keysAge(now time.Time, m *member.Member) time.Duration {
	since, known := p.coordinator.keys.ChangedSince(m.ConfigurationRevision)
	if !known {
		return 0
	}
	return max(leastTold, now.Sub(since))
}

// viewCarriesKeys tells whether a view goes out now to pass the operators' keys on, or to ask for them.
func (p *planning) viewCarriesKeys(now time.Time) bool {
	for _, m := range p.members.All() {
		if m.Link == nil {
			continue
		}
		items := p.lackedBy(now, m)
		if len(items) > 0 && p.keysUnderWay.Room(now, m.Link, follow.SizeOf(items)) {
			return true
		}
	}
	return p.keysRequest.Due(now, p.coordinator.keys.Revision(), p.members.Sources())
}

// addTotals tells in a view what all instances have in flight.
func (p *planning) addTotals(now time.Time, v *wire.View) {
	sums, age := p.allInFlight(now)
	p.applyOwnTotals(now, sums, age)
	v.Totals, v.TotalsAge = totalsOf(sums), age
}

func (p *planning) baseView(now time.Time) *wire.View {
	v := &wire.View{
		Planner: p.coordinator.options.Instance, Term: p.lease.Record().Term, ReadAge: now.Sub(p.coordinator.endpointsReadAt),
		Members: p.members.Fleet(), ConfigurationRevision: p.coordinator.keys.Revision(), Resigned: p.resigned,
		ConfirmedAge: p.lease.ConfirmedAge(now), Withdrawals: p.plans.Withdrawals(), RecentLoads: p.recentLoads(now),
		Made: max(leastTold, now.Sub(p.since)), AsksForKeys: true, DescribedUpTo: p.coordinator.describedUpTo,
	}
	return v
}

// leastTold is what a view tells of a span that is zero: that would say that it is not known.
const leastTold = time.Nanosecond

// addForecasts tells which adapters are on their way; heartbeats carry them.
func (p *planning) addForecasts(now time.Time, v *wire.View) {
	v.Forecasts, v.Backlogs = p.plans.Forecasts(now)
	p.coordinator.forecasts.Renew(v.Backlogs)
	for _, one := range v.Forecasts {
		p.coordinator.forecasts.Note(one.Key(), now.Add(one.Remaining))
	}
}

// fullView is a whole view that describes each endpoint.
func (p *planning) fullView(now time.Time) *wire.View {
	v := p.viewWithoutEndpoints(now)
	v.AddEndpoints(maps.Values(p.coordinator.directory.Endpoints()))
	return v
}

// viewWithoutEndpoints is a whole view that lacks the endpoints yet.
func (p *planning) viewWithoutEndpoints(now time.Time) *wire.View {
	v := p.baseView(now)
	p.addTotals(now, v)
	v.Gatherers = p.namedGatherers()
	v.Heartbeat = true
	v.Whole, v.Sequence = true, p.sequence
	v.Full = p.coordinator.endpointsKnown
	v.Unreached = &wire.EndpointList{IDs: slices.Collect(maps.Keys(p.unreached))}
	v.Limits = &wire.LimitList{Limits: p.limitList(now)}
	v.EndpointsRevision = p.endpointsRevision
	v.Crashes = toldCrashes(p.coordinator.crashes.Snapshot(now))
	return v
}

// allInFlight sums the requests in flight over all instances, by the gatherers' sums and, for instances that are in none, their own
// reports, and tells how old the others' are on the mean.
func (p *planning) allInFlight(now time.Time) (map[deployment.EndpointID]member.InFlight, time.Duration) {
	gathered := p.gatherers.sums.Gather(now)
	sums := gathered.InFlight
	for id, status := range p.coordinator.directory.Endpoints() {
		sums[id] = sums[id].Plus(ownInFlight(status))
	}
	count, age := p.members.AddInFlight(now, sums, gathered.Members)
	count, age = count+len(gathered.Members), age+gathered.Age
	return sums, age / time.Duration(max(1, count))
}

// totalsOf gives sums as views tell them.
func totalsOf(sums map[deployment.EndpointID]member.InFlight) []wire.EndpointCount {
	list := make([]wire.EndpointCount, 0, len(sums))
	for id, sum := range sums {
		if sum.Requests > 0 {
			list = append(list, wire.EndpointCount{ID: id, Count: sum.Requests, Unread: sum.Unread})
		}
	}
	return list
}

// countsOf gives sums as totals tell them.
func countsOf(sums map[deployment.EndpointID]member.InFlight) []wire.Count {
	list := make([]wire.Count, 0, len(sums))
	for id, sum := range sums {
		if sum.Requests > 0 {
			list = append(list, wire.Count{ID: id, Requests: sum.Requests, Unread: sum.Unread})
		}
	}
	return list
}

// applyOwnTotals makes the totals of this planner, of an age, and the number of members known to its own requests.
func (p *planning) applyOwnTotals(now time.Time, sums map[deployment.EndpointID]member.InFlight, age time.Duration) {
	c := p.coordinator
	c.resetOthers()
	c.othersAsOf = now.Add(-age)
	for id, sum := range sums {
		if status := c.directory.Endpoint(id); status != nil {
			c.setOthers(id, sum, ownInFlight(status))
		}
	}
	c.following.Members = p.members.Fleet()
	c.budget.SetMembers(p.members.Fleet())
}
