// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"errors"
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
	round := &viewRound{changes: p.changesView(now, withTotals), keys: make(map[int64]peerstream.Frame)}
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

// viewRound is what all members are sent at one time, encoded once.
type viewRound struct {
	changes *wire.View
	// changed are the endpoints that the changes tell of.
	changed []*directory.EndpointStatus
	frame   peerstream.Frame
	// former is the frame for members of the version before, which read no copies by themselves; nil until one needs it.
	former peerstream.Frame
	// whole is the frame of a whole view, short that of one for members that have read the endpoints; nil until one needs it.
	whole peerstream.Frame
	short peerstream.Frame
	// newestEndpoint is what newest found; 0 before.
	newestEndpoint int64
	// keys are the frames of views that pass keys on, by the revision up to which a member has all.
	keys map[int64]peerstream.Frame
	// asked is the member that is asked for the operators' keys; empty if none is.
	asked string
}

// viewDue tells whether a view without totals goes out now.
func (p *planning) viewDue(now time.Time) bool {
	switch p.views.Due(now, p.coordinator.following.Members) {
	case view.Now:
		return true
	case view.OnlyChanges:
		return !p.noChanges() || p.viewCarriesKeys(now)
	default:
		return false
	}
}

// sendView sends a member what it needs of a round: the changes or a whole view, whose frames serve all, or a view of its own that passes
// keys on to it, asks it for keys or answers its probe.
func (p *planning) sendView(now time.Time, instance string, m *member.Member, round *viewRound) {
	items := p.itemsFor(now, m)
	switch {
	case p.isFed(now, m) && !m.NeedsFull:
		p.sendBareView(now, instance, m, round, items)
	case round.asked == instance || m.Probe > 0, len(items) > 0 && (m.NeedsFull || m.Contact == nil):
		p.sendOwnView(now, instance, m, round, items)
	case len(items) > 0:
		p.sendFrame(m, p.keysFrame(now, m, round, items))
		p.coordinator.observeRelay(items)
	default:
		p.sendFrame(m, p.commonFrame(now, m, round))
	}
}

// sendFrame sends a member a frame that serves others as well; nil, which could not be encoded, is left out.
func (p *planning) sendFrame(m *member.Member, frame peerstream.Frame) {
	if frame == nil {
		return
	}
	m.NeedsFull = false
	p.noteSent(m, m.Link.SendFrame(frame))
}

// keysFrame gives the frame of the changes with keys that all members get who lack the same ones; nil where it cannot be encoded.
func (p *planning) keysFrame(now time.Time, m *member.Member, round *viewRound, items []store.Item) peerstream.Frame {
	if frame, ok := round.keys[m.ConfigurationRevision]; ok {
		return frame
	}
	own := *round.changes
	own.Items, own.KeysAge = items, p.keysAge(now, m)
	frame := p.encode(&own)
	round.keys[m.ConfigurationRevision] = frame
	return frame
}

// isFed tells whether a gatherer passes the views on to a member: both say so, and the gatherer is heard.
func (p *planning) isFed(now time.Time, m *member.Member) bool {
	if m.FedBy == "" || !p.gatherers.sums.Gathers(now, m.FedBy) {
		return false
	}
	gatherer, ok := p.members.All()[m.FedBy]
	return ok && gatherer.Link != nil && gatherer.FedBy == ""
}

// commonFrame gives the frame that a member gets like all others of its version: the changes, or a whole view.
func (p *planning) commonFrame(now time.Time, m *member.Member, round *viewRound) peerstream.Frame {
	switch {
	case m.NeedsFull && p.describesAsRead(m, round):
		return p.shortFrame(now, round)
	case m.NeedsFull:
		return p.wholeFrame(now, round)
	case m.Contact != nil:
		return round.frame
	}
	if round.former == nil {
		round.former = p.encode(formerView(round))
	}
	return round.former
}

// formerView gives the changes as a member of the version before reads them: endpoints with all of their copies.
func formerView(round *viewRound) *wire.View {
	former := *round.changes
	former.Copies, former.Endpoints, former.Starts = nil, nil, nil
	former.AddEndpoints(slices.Values(round.changed))
	return &former
}

// signPause is the least pause between two signs of life to a member that a gatherer feeds: below the pace of heartbeats, so that each of
// these carries one in a calm fleet. Not measured.
const signPause = 3 * view.HeartbeatPace / 4

// sendBareView sends a member that a gatherer feeds what only the planner can: keys, a request for keys, the answer to a probe, and at
// least a sign of life at the pace of heartbeats.
func (p *planning) sendBareView(now time.Time, instance string, m *member.Member, round *viewRound, items []store.Item) {
	if len(items) == 0 && m.Probe == 0 && round.asked != instance && now.Sub(m.BareSentAt) < signPause {
		return
	}
	bare := &wire.View{
		Planner: round.changes.Planner, Term: round.changes.Term, Made: round.changes.Made, Members: round.changes.Members,
		ConfigurationRevision: round.changes.ConfigurationRevision, AsksForKeys: true, Bare: true, Items: items, Probe: m.Probe,
	}
	if len(items) > 0 {
		bare.KeysAge = p.keysAge(now, m)
	}
	if round.asked == instance {
		bare.KeysFrom = instance
	}
	m.Probe, m.BareSentAt = 0, now
	p.coordinator.observeRelay(items)
	p.noteSent(m, m.Link.Send(wire.Message{View: bare}))
}

// wholeFrame gives the frame of a whole view, or nil where it cannot be encoded.
func (p *planning) wholeFrame(now time.Time, round *viewRound) peerstream.Frame {
	if round.whole != nil {
		return round.whole
	}
	round.whole = p.encode(p.fullView(now))
	return round.whole
}

// describesAsRead tells whether a member has read each endpoint as this planner has: the descriptions here are the store's own once the
// endpoints were read in this term, or where nobody had told of copies before it; those of a view list what was on offer then.
func (p *planning) describesAsRead(m *member.Member, round *viewRound) bool {
	return (p.readBefore || p.endpointsRevision > 0) && m.EndpointsRead >= round.newest(p.coordinator.directory)
}

// newest is the store's revision of the latest description of an endpoint, at least 1.
func (r *viewRound) newest(known *directory.Directory) int64 {
	if r.newestEndpoint == 0 {
		r.newestEndpoint = 1
		for _, status := range known.Endpoints() {
			r.newestEndpoint = max(r.newestEndpoint, status.Revision)
		}
	}
	return r.newestEndpoint
}

// shortFrame gives the frame of a whole view for members that have read the endpoints from the store: it describes those only of which
// the planner knows better. When all instances start at once, each gets 13 bytes of most endpoints in place of 150 and more.
func (p *planning) shortFrame(now time.Time, round *viewRound) peerstream.Frame {
	if round.short != nil {
		return round.short
	}
	v := p.viewWithoutEndpoints(now)
	for id, status := range p.coordinator.directory.Endpoints() {
		described := maps.Equal(status.Offered, status.Adapters) && slices.Equal(status.OfferedModels, status.Models)
		if described && status.State == deployment.Ready {
			v.Unchanged = append(v.Unchanged, id)
			continue
		}
		v.AddEndpoints(slices.Values([]*directory.EndpointStatus{status}))
	}
	round.short = p.encode(v)
	return round.short
}

// sendOwnView sends a member a view that is encoded for it alone: the changes, or a whole view, with keys, a request for keys or the
// answer to a probe.
func (p *planning) sendOwnView(now time.Time, instance string, m *member.Member, round *viewRound, items []store.Item) {
	own := *round.changes
	switch {
	case m.NeedsFull:
		own = *p.fullView(now)
		m.NeedsFull = false
	case m.Contact == nil:
		own = *formerView(round)
	}
	own.Items, own.Probe = items, m.Probe
	if len(items) > 0 {
		own.KeysAge = p.keysAge(now, m)
	}
	m.Probe = 0
	if round.asked == instance {
		own.KeysFrom = instance
	}
	p.coordinator.observeRelay(items)
	p.noteSent(m, m.Link.Send(wire.Message{View: &own}))
}

// noteSent takes in how the sending of a view ended. After a failure the member dials again and gets a whole view.
func (p *planning) noteSent(m *member.Member, err error) {
	if err == nil {
		return
	}
	if errors.Is(err, peerstream.ErrCongested) {
		p.coordinator.noteLinkClosed(m.Link.Queued(), err)
	}
	p.keysUnderWay.Ended(m.Link)
	m.Link = nil
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
func (p *planning) noChanges() bool {
	return p.plans.Changes().Empty() && !p.members.NeedOwn() && !p.gatherers.changed
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
		Made: max(leastTold, now.Sub(p.since)), AsksForKeys: true,
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
	v.EndpointsRevision = p.endpointsRevision
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
