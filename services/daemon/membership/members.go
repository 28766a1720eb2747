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

// State is the picture itself; it is not safe for concurrent use.
type State struct {
	self      fleet.Instance
	options   Options
	members   map[string]*Member
	lastSweep time.Time
	// forgotten holds when instances were forgotten, for as long as others may still name them.
	forgotten map[string]time.Time
}

// New makes a picture that holds only the instance itself.
func New(self fleet.Instance, o Options) *State {
	return &State{self: self, options: o, members: make(map[string]*Member), forgotten: make(map[string]time.Time)}
}

// SetListed takes the platform's list of the hall's instances, which lags.
func (s *State) SetListed(now time.Time, list []fleet.Instance) {
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		s.Know(now, i)
	}
	for id, m := range s.members {
		m.Listed = listed[id]
	}
}

// Know adds an instance that someone named, without a claim that it is alive.
func (s *State) Know(now time.Time, i fleet.Instance) {
	if i.ID == s.self.ID || i.Hall != s.self.Hall || s.members[i.ID] != nil {
		return
	}
	s.members[i.ID] = &Member{Instance: i, Heard: now}
	delete(s.forgotten, i.ID)
}

// Heard takes a heartbeat and gives what it changed. One of a former life of its sender, one older than the last that was
// heard, and one of another hall or of the instance itself change nothing.
func (s *State) Heard(now time.Time, boot uint64, hb *fleet.Heartbeat) []Change {
	if hb.Instance.ID == s.self.ID || hb.Instance.Hall != s.self.Hall {
		return nil
	}
	for _, i := range hb.Known {
		if _, ok := s.forgotten[i.ID]; !ok {
			s.Know(now, i)
		}
	}
	s.Know(now, hb.Instance)
	m := s.members[hb.Instance.ID]
	if slices.Contains(m.former, boot) || (boot == m.Boot && hb.Stamp < m.Stamp) {
		return nil
	}
	if boot != m.Boot {
		m.retire()
	}
	changes := s.note(m, boot, hb)
	m.Instance = hb.Instance
	m.Boot = boot
	m.Alive = true
	m.Heard = now
	m.Stamp = hb.Stamp
	m.Leaving = hb.Leaving
	m.Revision = max(m.Revision, hb.Revision)
	m.Held = hb.Held
	return changes
}

// note gives the changes that a heartbeat brings, before the member takes its content.
func (s *State) note(m *Member, boot uint64, hb *fleet.Heartbeat) []Change {
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

// instances is how many instances of the hall are known, this one among them.
func (s *State) instances() int {
	return len(s.members) + 1
}

// Sweep finds members that have gone silent, and forgets those that have been for long. Others may forget them a little
// later; until then, what they name is not taken for news. A pause of this instance itself is not held against the others.
func (s *State) Sweep(now time.Time) []Change {
	if pause := s.options.ownPause(now, s.lastSweep); pause > 0 {
		for _, m := range s.members {
			m.Heard = m.Heard.Add(pause)
		}
	}
	s.lastSweep = now
	var changes []Change
	for _, m := range s.sorted() {
		silent := now.Sub(m.Heard)
		if m.Alive && s.options.lost(silent, s.instances()) {
			m.Alive = false
			m.Held = nil
			changes = append(changes, Change{Kind: Lost, Member: m})
		}
		if !m.Alive && !m.Listed && silent > s.options.ForgetAfter {
			delete(s.members, m.Instance.ID)
			s.forgotten[m.Instance.ID] = now
		}
	}
	maps.DeleteFunc(s.forgotten, func(_ string, at time.Time) bool { return now.Sub(at) > s.options.ForgetAfter })
	return changes
}

// Due lists the members that are to get a heartbeat now, and counts it as sent.
func (s *State) Due(now time.Time) []*Member {
	var due []*Member
	for _, m := range s.sorted() {
		if !s.options.due(now, m.Sent, m.Alive, s.instances()) {
			continue
		}
		m.Sent = now
		due = append(due, m)
	}
	return due
}

// Member finds a member by its identifier, or nil.
func (s *State) Member(id string) *Member {
	return s.members[id]
}

// Alive lists the live members without the instance itself.
func (s *State) Alive() []*Member {
	var out []*Member
	for _, m := range s.sorted() {
		if m.Alive {
			out = append(out, m)
		}
	}
	return out
}

// Candidates names the live instances that are not leaving, the instance itself among them unless selfLeaving.
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

// Known lists every instance of the hall that is known, the instance itself first.
func (s *State) Known() []fleet.Instance {
	out := []fleet.Instance{s.self}
	for _, m := range s.sorted() {
		out = append(out, m.Instance)
	}
	return out
}

// Hash sums up who is known, so that heartbeats need the list only where it differs.
func (s *State) Hash() uint64 {
	var sum uint64
	for _, i := range s.Known() {
		h := fnv.New64a()
		// Write of a hash.Hash never gives an error.
		_, _ = h.Write([]byte(i.ID))
		sum += h.Sum64()
	}
	return sum
}

// sorted lists the members by identifier, so that equal pictures act alike.
func (s *State) sorted() []*Member {
	out := make([]*Member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	return out
}
