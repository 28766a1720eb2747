// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Options are the timings of membership.
type Options struct {
	// Interval is the time between two heartbeats to the same instance.
	Interval time.Duration
	// LostAfter is the silence after which an instance counts as lost.
	LostAfter time.Duration
	// Settle is how long a new instance listens before it takes anything over.
	Settle time.Duration
	// ProbeEvery is the time between two heartbeats to an instance that does not answer.
	ProbeEvery time.Duration
	// ForgetAfter is the silence after which an instance the platform does not list is forgotten.
	ForgetAfter time.Duration
}

const (
	// defaultInterval trades traffic for how soon a change is known: 10.1 KB/s are sent by an instance in a large hall
	// (docs/CAPACITY.md); other values were not measured.
	defaultInterval = 250 * time.Millisecond
	// defaultLostAfter trades sooner takeovers for takeovers from instances that were only slow. Takeover measured 1.2 s
	// (median of 5) after a loss (docs/design/0004-data-path.md); other values were not measured.
	defaultLostAfter = 1200 * time.Millisecond
	// defaultSettle is above defaultLostAfter, so that a new instance has heard every live one before it takes a pool over;
	// not measured.
	defaultSettle = 1500 * time.Millisecond
	// defaultProbeEvery trades traffic to instances that are gone for how soon one that came back is noticed; not measured.
	defaultProbeEvery = time.Second
	// defaultForgetAfter trades memory and probes for instances that were cut off that long; not measured.
	defaultForgetAfter = 10 * time.Minute
)

// DefaultOptions gives the timings for where no settings file is read. In the daemon the settings' own defaults of
// Interval, LostAfter and Settle, which are equal, replace these three.
func DefaultOptions() Options {
	return Options{
		Interval: defaultInterval, LostAfter: defaultLostAfter, Settle: defaultSettle,
		ProbeEvery: defaultProbeEvery, ForgetAfter: defaultForgetAfter,
	}
}

// Member is what is known of another instance.
type Member struct {
	Instance fleet.Instance
	Boot     uint64
	Alive    bool
	Leaving  bool
	Listed   bool
	Heard    time.Time
	Sent     time.Time
	// Stamp is the member's own clock as last heard, for it to judge the age of grants.
	Stamp    time.Duration
	Revision int64
	Held     []fleet.HeldPool
	// former holds the boots of earlier lives, whose late messages are ignored.
	former []uint64
}

// ChangeKind names what became known of a member.
type ChangeKind string

// The kinds of change.
const (
	Joined    ChangeKind = "joined"
	Restarted ChangeKind = "restarted"
	Lost      ChangeKind = "lost"
	Left      ChangeKind = "left"
)

// Change tells that a member joined, restarted, was lost or is leaving.
type Change struct {
	Kind   ChangeKind
	Member *Member
}

// State is the picture itself; it is not safe for concurrent use.
type State struct {
	self     fleet.Instance
	options  Options
	members  map[string]*Member
	lastTick time.Time
}

// New makes a picture that holds only the instance itself.
func New(self fleet.Instance, o Options) *State {
	return &State{self: self, options: o, members: make(map[string]*Member)}
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
}

// Heard takes a heartbeat and gives what it changed. One of a former life of its sender, one older than the last that was
// heard, and one of another hall or of the instance itself change nothing.
func (s *State) Heard(now time.Time, boot uint64, hb *fleet.Heartbeat) []Change {
	if hb.Instance.ID == s.self.ID || hb.Instance.Hall != s.self.Hall {
		return nil
	}
	for _, i := range hb.Known {
		s.Know(now, i)
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

// formerLives is how many earlier boots of a member are remembered, so that their late messages are told from a new
// life's; messages of a life that many restarts ago are taken as long gone. Not measured.
const formerLives = 8

// retire remembers the present life as a former one; the clock may have been
// set back since, so that the order of boots tells nothing.
func (m *Member) retire() {
	if m.Boot == 0 {
		return
	}
	m.former = append(m.former, m.Boot)
	if len(m.former) > formerLives {
		m.former = m.former[1:]
	}
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

// crowd is the number of instances of a hall, this one among them, up to which the timings hold as set; above it they grow
// with the hall, so that an instance's traffic does not: bytes sent are flat above 10 (docs/CAPACITY.md), at the price of a
// loss that is noticed after 4.8 s in a hall of 40. Other values were not measured.
const crowd = 10

// scaled stretches a time in a large hall.
func (s *State) scaled(d time.Duration) time.Duration {
	return d * time.Duration(max(crowd, len(s.members)+1)) / crowd
}

// Sweep finds members that have gone silent. A pause of this instance itself is
// not held against the others.
func (s *State) Sweep(now time.Time) []Change {
	if pause := now.Sub(s.lastTick); !s.lastTick.IsZero() && pause > s.options.LostAfter/2 {
		for _, m := range s.members {
			m.Heard = m.Heard.Add(pause)
		}
	}
	s.lastTick = now
	var changes []Change
	for _, m := range s.sorted() {
		silent := now.Sub(m.Heard)
		if m.Alive && silent > s.scaled(s.options.LostAfter) {
			m.Alive = false
			m.Held = nil
			changes = append(changes, Change{Kind: Lost, Member: m})
		}
		if !m.Alive && !m.Listed && silent > s.options.ForgetAfter {
			delete(s.members, m.Instance.ID)
		}
	}
	return changes
}

// Due lists the members that are to get a heartbeat now, and counts it as sent.
func (s *State) Due(now time.Time) []*Member {
	var due []*Member
	for _, m := range s.sorted() {
		every := s.scaled(s.options.Interval)
		if !m.Alive {
			every = s.scaled(s.options.ProbeEvery)
		}
		if !m.Sent.IsZero() && now.Sub(m.Sent) < every {
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
