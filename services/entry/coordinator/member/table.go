// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/tree"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// unreachableTTL is how long a report of refused connections remains valid. A longer time keeps requests from an endpoint that is
// reachable again; with a shorter one, more instances have to detect the refusal themselves. The store still lists a crashed
// endpoint for about 3 s.
const unreachableTTL = 1500 * time.Millisecond

// requiredVotes is the number of instances that must suspect an endpoint, in a fleet of at least that many.
const requiredVotes = 2

// Table holds the members by instance. It is not safe for concurrent use.
type Table struct {
	members map[string]*Member
	// uses is the number of the members' requests in flight by copy.
	uses map[wire.Copy]int
}

// NewTable returns a table without members.
func NewTable() *Table {
	return &Table{members: make(map[string]*Member), uses: make(map[wire.Copy]int)}
}

// All returns the members by instance, including the lost ones. The caller must not change the map.
func (t *Table) All() map[string]*Member {
	return t.members
}

// FleetSize returns the number of instances that share the fleet-wide limits, including the planner.
func (t *Table) FleetSize() int {
	return len(t.members) + 1
}

// Source is a member that can be asked for the operators' keys.
type Source struct {
	Instance string
	// Revision is the newest revision of the keys that the member has.
	Revision int64
}

// Sources returns the connected members, which can be asked for the operators' keys.
func (t *Table) Sources() []Source {
	var sources []Source
	for instance, m := range t.members {
		if m.Link != nil && !m.isLost() {
			sources = append(sources, Source{Instance: instance, Revision: m.ConfigurationRevision})
		}
	}
	return sources
}

// PresentShare returns the fraction of the instances that are not lost, including the planner.
func (t *Table) PresentShare() float64 {
	present := 1
	for _, m := range t.members {
		if !m.isLost() {
			present++
		}
	}
	return float64(present) / float64(t.FleetSize())
}

// Join records the link over which an instance reports. After a new link, the next view is a snapshot.
func (t *Table) Join(instance string, link *Link) {
	m, ok := t.members[instance]
	if !ok {
		m = &Member{}
		t.members[instance] = m
	}
	if m.Link != link {
		m.Link = link
		m.loadReportedAt = time.Time{}
		// The instance may have been replaced by one of another version, which reports these values again.
		m.Contact, m.Forwarder, m.DescribedUpTo = nil, "", 0
		m.SnapshotDue = true
		m.Probe = 0
	}
}

// ApplyReport applies a report and returns the endpoints that the member has begun or ceased to suspect. A report of the planner itself,
// which is no member, has no effect.
func (t *Table) ApplyReport(now time.Time, r *wire.Report) []deployment.EndpointID {
	m, ok := t.members[r.Instance]
	if !ok {
		return nil
	}
	t.addUses(m, -1)
	m.applyReport(now, r)
	t.addUses(m, 1)
	return m.setSuspects(r.Suspects)
}

// MarkLoadsReceived records that a gatherer has received loads from members.
func (t *Table) MarkLoadsReceived(now time.Time, instances []string) {
	for _, instance := range instances {
		if m, ok := t.members[instance]; ok {
			m.loadReportedAt = now
		}
	}
}

// LinkEnded records that a link has ended. Unless its member has a new link, the next call of DropLost after that moment declares the
// member lost.
func (t *Table) LinkEnded(now time.Time, link *Link, silence time.Duration) {
	for _, m := range t.members {
		if m.Link == link {
			m.Link = nil
			m.reportedAt, m.loadReportedAt = now.Add(-silence), time.Time{}
		}
	}
}

// Broadcast sends a message to all connected members.
func (t *Table) Broadcast(message wire.Message) {
	for _, m := range t.members {
		if m.Link != nil {
			// If sending fails, the link closes and the member looks for the planner again, as without the message.
			_ = m.Link.Send(message)
		}
	}
}

// FinishLinks closes all links after their queued messages are sent.
func (t *Table) FinishLinks() {
	for _, m := range t.members {
		if m.Link != nil {
			m.Link.Finish()
		}
	}
}

// DropLost calls lost for each member that becomes lost now. It removes lost members that announced that they stop, and those lost
// for longer than LostRetention.
func (t *Table) DropLost(now time.Time, silence time.Duration, lost func(instance string)) {
	for instance, m := range t.members {
		if !m.isLost() && m.isSilent(now, silence) {
			m.lost = now
			lost(instance)
		}
		if m.isLost() && (m.leaving || now.Sub(m.lost) > LostRetention) {
			t.addUses(m, -1)
			delete(t.members, instance)
		}
	}
}

// addUses adds the copies in use by a member to the totals, or subtracts them if sign is -1.
func (t *Table) addUses(m *Member, sign int) {
	for name, count := range m.inUse {
		t.uses[name] += sign * count
		if t.uses[name] <= 0 {
			delete(t.uses, name)
		}
	}
}

// Uses returns the number of the members' requests in flight that use a copy, according to their last reports.
func (t *Table) Uses(name wire.Copy) int {
	return t.uses[name]
}

// IsUnused reports whether no member uses a copy whose withdrawal was announced an age ago, and all members comply with the
// withdrawal. Lost members are ignored, and so is a missing acknowledgement after AcknowledgeLimit if the member reports no use of
// the copy: the endpoint itself keeps an adapter that a request uses, and refuses a request that arrives after the unload as not
// run. While each acknowledgement was required, one instance that was suspended or stopped blocked all unloads of the fleet for 1.5
// s, and a restart of several instances in turn did so once per instance.
func (t *Table) IsUnused(name wire.Copy, withdrawal uint64, age time.Duration) bool {
	late := age > AcknowledgeLimit(t.FleetSize())
	for _, m := range t.members {
		if m.isLost() {
			continue
		}
		if m.inUse[name] > 0 || (m.withdrawalsSeen < withdrawal && !late) {
			return false
		}
	}
	return true
}

// AddInFlight adds the requests in flight that members reported to sums, and returns the number of these members and the sum of the
// ages of their reports. Lost members, and the instances in elsewhere, whose requests are counted from another source, are skipped.
func (t *Table) AddInFlight(now time.Time, sums map[deployment.EndpointID]InFlight, elsewhere map[string]bool) (count int, age time.Duration) {
	for instance, m := range t.members {
		if m.isLost() || elsewhere[instance] {
			continue
		}
		count++
		age += now.Sub(m.reportedAt)
		for id, requests := range m.inFlight {
			sums[id] = sums[id].Combine(requests)
		}
	}
	return count, age
}

// GathererCandidates returns the members that can be chosen as gatherers.
func (t *Table) GathererCandidates() []tree.Instance {
	var instances []tree.Instance
	for name, m := range t.members {
		if m.Link != nil && !m.isLost() && !m.leaving && m.Contact != nil {
			instances = append(instances, tree.Instance{Name: name, Hall: m.Contact.Hall, Address: m.Contact.Address.AddrPort, LinkRate: m.Contact.LinkRate})
		}
	}
	return instances
}

// IsSuspect reports whether requiredVotes instances, or the only instance, suspect an endpoint; own is the vote of the planner.
func (t *Table) IsSuspect(id deployment.EndpointID, own bool) bool {
	votes := 0
	if own {
		votes++
	}
	for _, m := range t.members {
		if m.suspects[id] {
			votes++
		}
	}
	return votes >= min(requiredVotes, t.FleetSize())
}

// Unreachable returns the endpoints that refuse the connections of requiredVotes instances, according to reports that are no older
// than unreachableTTL; own are the endpoints that refuse the planner's connections.
func (t *Table) Unreachable(now time.Time, own []deployment.EndpointID) map[deployment.EndpointID]bool {
	votes := make(map[deployment.EndpointID]int)
	for _, id := range own {
		votes[id]++
	}
	for _, m := range t.members {
		if now.Sub(m.reportedAt) > unreachableTTL {
			continue
		}
		for _, id := range m.unreachable {
			votes[id]++
		}
	}
	unreachable := make(map[deployment.EndpointID]bool)
	for id, count := range votes {
		if count >= requiredVotes {
			unreachable[id] = true
		}
	}
	return unreachable
}

// AnyReachesStore reports whether the store has recently answered any member, so that a member could take over the planning.
func (t *Table) AnyReachesStore(now time.Time) bool {
	for _, m := range t.members {
		if m.reachesStore(now) {
			return true
		}
	}
	return false
}

// AnyReachesEndpoints reports whether any member reaches endpoints over its own links, so that it could take over the planning.
func (t *Table) AnyReachesEndpoints() bool {
	for _, m := range t.members {
		if m.opensTunnels() {
			return true
		}
	}
	return false
}

// Tunnels returns the members through which other instances can reach endpoints, in no order.
func (t *Table) Tunnels() []wire.Tunnel {
	var tunnels []wire.Tunnel
	for _, m := range t.members {
		if m.opensTunnels() {
			tunnels = append(tunnels, wire.Tunnel{Hall: m.Contact.Hall, Address: m.Contact.Tunnel.AddrPort})
		}
	}
	return tunnels
}

// AnyNeedsOwnView reports whether any connected member waits for a snapshot or for the answer to a probe.
func (t *Table) AnyNeedsOwnView() bool {
	for _, m := range t.members {
		if m.Link != nil && (m.SnapshotDue || m.Probe > 0) {
			return true
		}
	}
	return false
}
