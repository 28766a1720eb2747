// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/tree"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// unreachedLife is how long a report tells that an endpoint refuses connections: longer keeps requests from one that is back, shorter lets
// more instances find out for themselves. The store names a crashed endpoint for some 3 s.
const unreachedLife = 1500 * time.Millisecond

// suspectVotes is the number of instances that must find an endpoint bad, if there are as many.
const suspectVotes = 2

// Table holds the members by instance; it is not safe for concurrent use.
type Table struct {
	members map[string]*Member
	// uses sums the members' requests in flight by copy.
	uses map[wire.Copy]int
}

// NewTable makes a table without members.
func NewTable() *Table {
	return &Table{members: make(map[string]*Member), uses: make(map[wire.Copy]int)}
}

// All gives the members by instance, the lost ones included; the caller must not change the map.
func (t *Table) All() map[string]*Member {
	return t.members
}

// Fleet is the number of instances that share the fleet's bounds, the planner included.
func (t *Table) Fleet() int {
	return len(t.members) + 1
}

// Source is a member that can be asked for the operators' keys.
type Source struct {
	Instance string
	// Revision is the newest revision of the keys that it knows.
	Revision int64
}

// Sources gives the members that can be asked for the operators' keys, with what they know of them.
func (t *Table) Sources() []Source {
	var sources []Source
	for instance, m := range t.members {
		if m.Link != nil && !m.isLost() {
			sources = append(sources, Source{Instance: instance, Revision: m.ConfigurationRevision})
		}
	}
	return sources
}

// PresentPart is the part of the instances that is not lost, the planner included.
func (t *Table) PresentPart() float64 {
	present := 1
	for _, m := range t.members {
		if !m.isLost() {
			present++
		}
	}
	return float64(present) / float64(t.Fleet())
}

// Join notes over which link an instance reports; a new link makes the next view a whole one.
func (t *Table) Join(instance string, link *Link) {
	m, ok := t.members[instance]
	if !ok {
		m = &Member{}
		t.members[instance] = m
	}
	if m.Link != link {
		m.Link = link
		m.heardAt = time.Time{}
		// It may have been replaced by one of another version, which tells anew.
		m.Contact, m.FedBy, m.DescribedUpTo = nil, "", 0
		m.NeedsFull = true
		m.Probe = 0
	}
}

// Take takes in a report and gives the endpoints of which the member changed its verdict whether they are bad. The
// planner's own report, which is no member's, changes nothing.
func (t *Table) Take(now time.Time, r *wire.Report) []deployment.EndpointID {
	m, ok := t.members[r.Instance]
	if !ok {
		return nil
	}
	t.addUses(m, -1)
	m.take(now, r)
	t.addUses(m, 1)
	return m.suspect(r.Suspects)
}

// Heard takes in that a gatherer hears members.
func (t *Table) Heard(now time.Time, instances []string) {
	for _, instance := range instances {
		if m, ok := t.members[instance]; ok {
			m.heardAt = now
		}
	}
}

// Unlink notes that a link has ended: without a new one its member counts as lost at the next look.
func (t *Table) Unlink(now time.Time, link *Link, silence time.Duration) {
	for _, m := range t.members {
		if m.Link == link {
			m.Link = nil
			m.reportedAt, m.heardAt = now.Add(-silence), time.Time{}
		}
	}
}

// Tell sends all members a message.
func (t *Table) Tell(message wire.Message) {
	for _, m := range t.members {
		if m.Link != nil {
			// A member that cannot take it loses its link, and looks for the planner as without the message.
			_ = m.Link.Send(message)
		}
	}
}

// FinishLinks ends all links once what waits for them is sent.
func (t *Table) FinishLinks() {
	for _, m := range t.members {
		if m.Link != nil {
			m.Link.Finish()
		}
	}
}

// DropLost tells lost of each member that counts as lost from now on, and forgets those that said that they leave
// or that were lost long ago.
func (t *Table) DropLost(now time.Time, silence time.Duration, lost func(instance string)) {
	for instance, m := range t.members {
		if !m.isLost() && m.isSilent(now, silence) {
			m.lost = now
			lost(instance)
		}
		if m.isLost() && (m.leaving || now.Sub(m.lost) > ForgetAfter) {
			t.addUses(m, -1)
			delete(t.members, instance)
		}
	}
}

// addUses adds a member's requests in flight to the sums, or takes them out.
func (t *Table) addUses(m *Member, sign int) {
	for name, count := range m.inUse {
		t.uses[name] += sign * count
		if t.uses[name] <= 0 {
			delete(t.uses, name)
		}
	}
}

// Uses is the number of the members' requests in flight that use a copy, by their last reports.
func (t *Table) Uses(name wire.Copy) int {
	return t.uses[name]
}

// Unused tells whether the members act on a withdrawal that was announced an age ago, and none uses the copy. One that has not
// acknowledged it in time is passed over, like one that is lost, as long as it told of no use: the endpoint itself keeps an adapter that
// a request uses, and refuses one that comes after the unload as not run. With each acknowledgement waited for, one instance that stood
// still or was stopped held up all unloads of the fleet for 1.5 s, and as many followed each other as were restarted in turn.
func (t *Table) Unused(name wire.Copy, withdrawal uint64, age time.Duration) bool {
	late := age > AcknowledgeLimit(t.Fleet())
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

// AddInFlight adds the requests in flight of all members that are not lost, by their own reports, and gives how many they are and how
// old the reports are, added up. Those whose part is known from elsewhere are left out.
func (t *Table) AddInFlight(now time.Time, sums map[deployment.EndpointID]InFlight, elsewhere map[string]bool) (count int, age time.Duration) {
	for instance, m := range t.members {
		if m.isLost() || elsewhere[instance] {
			continue
		}
		count++
		age += now.Sub(m.reportedAt)
		for id, requests := range m.inFlight {
			sums[id] = sums[id].Plus(requests)
		}
	}
	return count, age
}

// Reachable gives the members that gather for others if they are chosen.
func (t *Table) Reachable() []tree.Instance {
	var instances []tree.Instance
	for name, m := range t.members {
		if m.Link != nil && !m.isLost() && !m.leaving && m.Contact != nil {
			instances = append(instances, tree.Instance{Name: name, Hall: m.Contact.Hall, Address: m.Contact.Address.AddrPort, LinkRate: m.Contact.LinkRate})
		}
	}
	return instances
}

// Bad tells whether an endpoint is bad for two instances, or for the only one; own tells that it is for the planner.
func (t *Table) Bad(id deployment.EndpointID, own bool) bool {
	votes := 0
	if own {
		votes++
	}
	for _, m := range t.members {
		if m.suspects[id] {
			votes++
		}
	}
	return votes >= min(suspectVotes, t.Fleet())
}

// Unreached gives the endpoints that refuse the connections of two instances, by reports of the last unreachedLife; own are those that
// refuse the planner's.
func (t *Table) Unreached(now time.Time, own []deployment.EndpointID) map[deployment.EndpointID]bool {
	votes := make(map[deployment.EndpointID]int)
	for _, id := range own {
		votes[id]++
	}
	for _, m := range t.members {
		if now.Sub(m.reportedAt) > unreachedLife {
			continue
		}
		for _, id := range m.unreached {
			votes[id]++
		}
	}
	unreached := make(map[deployment.EndpointID]bool)
	for id, count := range votes {
		if count >= suspectVotes {
			unreached[id] = true
		}
	}
	return unreached
}

// ReachStore tells whether the store lately answered any member, so that it can take the planner's work.
func (t *Table) ReachStore(now time.Time) bool {
	for _, m := range t.members {
		if m.reachesStore(now) {
			return true
		}
	}
	return false
}

// NeedOwn tells whether any member waits for a whole view, or for the answer to a probe.
func (t *Table) NeedOwn() bool {
	for _, m := range t.members {
		if m.Link != nil && (m.NeedsFull || m.Probe > 0) {
			return true
		}
	}
	return false
}
