// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// State is an instance's view of its hall. It is not safe for concurrent use.
type State struct {
	self      fleet.Instance
	options   Options
	members   map[string]*Member
	lastSweep time.Time
	// forgotten holds the time at which each instance was forgotten. Entries are kept as long as other instances may still send
	// the instance in their lists.
	forgotten map[string]time.Time
}

// New returns a state that contains only the instance itself.
func New(self fleet.Instance, o Options) *State {
	return &State{self: self, options: o, members: make(map[string]*Member), forgotten: make(map[string]time.Time)}
}

// SetListed applies the platform's list of the hall's instances. The list may be out of date: a member that is alive tells its address itself.
func (s *State) SetListed(now time.Time, list []fleet.Instance) {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.ID] = true
		s.AddInstance(now, instance)
		if m := s.members[instance.ID]; m != nil {
			m.moveTo(instance)
		}
	}
	for id, m := range s.members {
		m.Listed = listed[id]
	}
}

// AddInstance adds an instance that is not known yet, without marking it as alive.
func (s *State) AddInstance(now time.Time, i fleet.Instance) {
	if i.ID == s.self.ID || i.Hall != s.self.Hall || s.members[i.ID] != nil {
		return
	}
	s.members[i.ID] = &Member{Instance: i, Received: now}
	delete(s.forgotten, i.ID)
}

// Received applies a heartbeat and returns the resulting changes. It ignores a heartbeat from before a restart of its sender, one
// older than the last applied heartbeat, one from another hall, and one from the instance itself.
func (s *State) Received(now time.Time, boot uint64, hb *fleet.Heartbeat) []Change {
	if hb.Instance.ID == s.self.ID || hb.Instance.Hall != s.self.Hall {
		return nil
	}
	for _, i := range hb.Known {
		if _, ok := s.forgotten[i.ID]; !ok {
			s.AddInstance(now, i)
		}
	}
	s.AddInstance(now, hb.Instance)
	m := s.members[hb.Instance.ID]
	if slices.Contains(m.formerBoots, boot) || (boot == m.Boot && hb.Stamp < m.Stamp) {
		return nil
	}
	if boot != m.Boot {
		m.recordFormerBoot()
	}
	changes := s.heartbeatChanges(m, boot, hb)
	m.Instance = hb.Instance
	m.Boot = boot
	m.Alive = true
	m.Received = now
	m.Stamp = hb.Stamp
	m.Leaving = hb.Leaving
	m.Revision = max(m.Revision, hb.Revision)
	m.HeldPools = hb.HeldPools
	return changes
}

// heartbeatChanges returns the changes that a heartbeat causes. It must be called before the heartbeat is applied to the member.
// If the member has restarted, heartbeatChanges resets its revision.
func (s *State) heartbeatChanges(m *Member, boot uint64, hb *fleet.Heartbeat) []Change {
	var changes []Change
	switch {
	case m.Alive && m.Boot != boot:
		m.Revision = 0
		changes = append(changes, Change{Kind: Restarted, Member: m})
	case !m.Alive:
		changes = append(changes, Change{Kind: Joined, Member: m})
	}
	if hb.Leaving && !m.Leaving {
		changes = append(changes, Change{Kind: Left, Member: m})
	}
	return changes
}

// instanceCount returns the number of known instances of the hall, including this instance.
func (s *State) instanceCount() int {
	return len(s.members) + 1
}

// Sweep marks members without recent heartbeats as lost and forgets those without heartbeats for a long time. Other instances
// may forget these a little later and list them until then, so the forgotten instances are recorded and not added again from such
// lists. The time in which this instance itself was paused is not counted as silence of the members.
func (s *State) Sweep(now time.Time) []Change {
	if pause := s.options.localPause(now, s.lastSweep); pause > 0 {
		for _, m := range s.members {
			m.Received = m.Received.Add(pause)
		}
	}
	s.lastSweep = now
	var changes []Change
	for _, m := range s.sortedMembers() {
		silence := now.Sub(m.Received)
		if m.Alive && s.options.isLost(silence, s.instanceCount()) {
			m.Alive = false
			m.HeldPools = nil
			changes = append(changes, Change{Kind: Lost, Member: m})
		}
		if !m.Alive && !m.Listed && silence > s.options.ForgetAfter {
			delete(s.members, m.Instance.ID)
			s.forgotten[m.Instance.ID] = now
		}
	}
	maps.DeleteFunc(s.forgotten, func(_ string, at time.Time) bool { return now.Sub(at) > s.options.ForgetAfter })
	return changes
}

// DueHeartbeats returns the members to which a heartbeat must be sent now, and records the heartbeats as sent.
func (s *State) DueHeartbeats(now time.Time) []*Member {
	var due []*Member
	for _, m := range s.sortedMembers() {
		if !s.options.due(now, m.Sent, m.Alive, s.instanceCount()) {
			continue
		}
		m.Sent = now
		due = append(due, m)
	}
	return due
}

// Member returns the member with the given identifier, or nil if it is not known.
func (s *State) Member(id string) *Member {
	return s.members[id]
}

// Alive returns the live members, excluding the instance itself.
func (s *State) Alive() []*Member {
	var out []*Member
	for _, m := range s.sortedMembers() {
		if m.Alive {
			out = append(out, m)
		}
	}
	return out
}

// Candidates returns the sorted identifiers of the live instances that are not leaving. It includes the instance itself unless
// selfLeaving is set.
func (s *State) Candidates(selfLeaving bool) []string {
	var out []string
	if !selfLeaving {
		out = append(out, s.self.ID)
	}
	for id, m := range s.members {
		if m.Alive && !m.Leaving {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Known returns all known instances of the hall, the instance itself first.
func (s *State) Known() []fleet.Instance {
	out := []fleet.Instance{s.self}
	for _, m := range s.sortedMembers() {
		out = append(out, m.Instance)
	}
	return out
}

// Hash returns a hash of the identifiers of the known instances. A heartbeat needs to contain the list only if the hashes of
// sender and receiver differ.
func (s *State) Hash() uint64 {
	var sum uint64
	for _, instance := range s.Known() {
		h := fnv.New64a()
		// The Write method of a hash.Hash never returns an error.
		_, _ = h.Write([]byte(instance.ID))
		sum += h.Sum64()
	}
	return sum
}

// sortedMembers returns the members sorted by identifier, so that equal states behave identically.
func (s *State) sortedMembers() []*Member {
	out := make([]*Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}
