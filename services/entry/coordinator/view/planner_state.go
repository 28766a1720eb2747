// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package view

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	// maxMissedHeartbeats is the minimum number of heartbeat intervals for which a planner may be silent.
	maxMissedHeartbeats = 3
	// SilenceLimit is the time without a view after which the planner counts as silent and an instance reads the store itself. A
	// shorter time keeps the endpoints more up to date at the cost of more store calls.
	SilenceLimit = max(1200*time.Millisecond, maxMissedHeartbeats*HeartbeatInterval)
	// ReadAgeLimit is the age of the endpoints in the planner's views above which an instance reads them from the store itself.
	ReadAgeLimit = 2500 * time.Millisecond
)

// Verdict is the decision whether a view is accepted.
type Verdict int

// The verdicts on a view.
const (
	// Accept means that the view is accepted.
	Accept Verdict = iota
	// FormerLink means that the view was received over a link that is no longer in use.
	FormerLink
	// EarlierTerm means that the view has an earlier term than the last accepted one, so that a later planner is known.
	EarlierTerm
	// SelfPlanning means that this instance is the planner and has newer state.
	SelfPlanning
)

// Arrival describes how a view was received.
type Arrival struct {
	// CurrentLink means that the view was received over the link in use.
	CurrentLink bool
	// Planning means that this instance is the planner.
	Planning bool
}

// PlannerState is what an instance keeps of the planner's views. The zero value has received none.
type PlannerState struct {
	// Planner and Term identify the sender of the last view.
	Planner string
	Term    int64
	// ReceivedAt is when the last view was received, by the clock of this instance. Delay is an upper bound of the time between its
	// creation and its reception. ReadAge is the time from the last moment at which the planner knew all endpoints to the creation
	// of the view, ConfirmedAge the time from the last confirmation of the planner's lease to the creation.
	ReceivedAt   time.Time
	Delay        time.Duration
	ReadAge      time.Duration
	ConfirmedAge time.Duration
	// Members is the number of instances that share the fleet-wide limits; 0 if unknown.
	Members int
	// PlannerRevision is the newest revision of the configuration's keys that the planner has. PlannerRequestsKeys reports that the
	// planner requests the keys that it lacks.
	PlannerRevision     int64
	PlannerRequestsKeys bool
	// Sequence is the number of the last applied view with changes; 0 if that one has no number.
	Sequence uint64
	// Withdrawals is the number of the last applied withdrawal announcement.
	Withdrawals uint64
	// ResignedTerm is the last term in which the planner announced that it issues no more orders.
	ResignedTerm int64
	// openedAt is when the link was opened, until the first view is received over it; zero afterwards.
	openedAt time.Time
	// probe is the number of the last probe and probedAt when it was sent; answered is the last probe that a view answered.
	probe         uint64
	probedAt      time.Time
	answeredProbe uint64
	// termStart is the best known lower bound of the start of the planner's term, by the clock of this instance; zero if unknown.
	termStart time.Time
}

// Judge decides whether a view is accepted. A view that repeats the last one is accepted, and its time of reception is updated.
func (s *PlannerState) Judge(v *wire.View, arrival Arrival) Verdict {
	switch {
	case !arrival.CurrentLink:
		return FormerLink
	case v.Term < s.Term:
		return EarlierTerm
	case arrival.Planning:
		return SelfPlanning
	default:
		return Accept
	}
}

// Order is the position of a view relative to the views applied before.
type Order int

// The positions of a view.
const (
	// InOrder means that the view is the next one, or does not depend on earlier views.
	InOrder Order = iota
	// Duplicate means that the view was already applied, since it was also received over the other link.
	Duplicate
	// Gap means that views before this one are missing. Applying it would acknowledge withdrawals that this instance has not seen.
	Gap
)

// Order returns the position of a view. Views are received from the planner directly and through a gatherer.
func (s *PlannerState) Order(v *wire.View) Order {
	switch {
	case v.Sequence == 0 || v.IsSnapshot:
		return InOrder
	case v.Term != s.Term || v.Planner != s.Planner || s.Sequence == 0:
		return Gap
	case v.Sequence <= s.Sequence:
		return Duplicate
	case v.Sequence > s.Sequence+1:
		return Gap
	default:
		return InOrder
	}
}

// ApplyBare applies a bare view, of which only the planner's time is used. Such a view does not prove that the endpoints are up to
// date, since their changes are sent through a gatherer, which may be suspended.
func (s *PlannerState) ApplyBare(now time.Time, v *wire.View) {
	if v.Term == s.Term && v.Planner == s.Planner {
		s.updateDelay(now, v)
	}
}

// Effects are the actions that a view requires of the receiving instance.
type Effects struct {
	// Acknowledge requires a report, since the view announces withdrawals or lists all endpoints.
	Acknowledge bool
	// Resigned means that the planner announced for the first time in its term that it issues no more orders.
	Resigned bool
}

// LinkOpened records that a link to a planner was opened.
func (s *PlannerState) LinkOpened(now time.Time) {
	s.openedAt = now
}

const (
	// probeDelay is the bound of the delay from which on an instance requests a tighter bound. It is a quarter of SilenceLimit, so
	// that the bound and the interval of heartbeats together stay below SilenceLimit.
	probeDelay = 300 * time.Millisecond
	// minProbeInterval is the minimum interval of probes.
	minProbeInterval = time.Second
)

// NextProbe returns the number of the probe that the next report carries. It returns false unless the bound of the delay is loose,
// either because the first view over the link was built long after the link was opened, or because views are in fact delayed.
func (s *PlannerState) NextProbe(now time.Time) (uint64, bool) {
	if s.termStart.IsZero() || s.Delay < probeDelay || now.Sub(s.probedAt) < minProbeInterval {
		return 0, false
	}
	s.probe++
	s.probedAt = now
	return s.probe, true
}

// updateDelay applies the time information of a view and returns an upper bound of the transmission delay of a view received now.
// The first view over a link was built after the link was opened, and the answer to a probe after the probe was sent. Together with
// the planning time in each view, this yields a bound for all later views without comparing two clocks. The result is 0 if no bound
// is known, or if the planner is of a version that does not send its planning time.
func (s *PlannerState) updateDelay(now time.Time, v *wire.View) time.Duration {
	if v.Planner != s.Planner || v.Term != s.Term {
		s.termStart = time.Time{}
	}
	if v.TermAge == 0 {
		return 0
	}
	if !s.openedAt.IsZero() {
		s.raiseTermStart(s.openedAt, v)
		s.openedAt = time.Time{}
	}
	if v.Probe > s.answeredProbe && v.Probe == s.probe {
		s.raiseTermStart(s.probedAt, v)
		s.answeredProbe = v.Probe
	}
	if s.termStart.IsZero() {
		return 0
	}
	return max(0, now.Sub(s.termStart.Add(v.TermAge)))
}

// raiseTermStart records that a view was built after a time.
func (s *PlannerState) raiseTermStart(at time.Time, v *wire.View) {
	if termStart := at.Add(-v.TermAge); termStart.After(s.termStart) {
		s.termStart = termStart
	}
}

// BuiltAfter returns a time before the last view was built. It returns false if none is known.
func (s *PlannerState) BuiltAfter() (time.Time, bool) {
	return s.ReceivedAt.Add(-s.Delay), !s.termStart.IsZero()
}

// BareBuiltAfter returns a time before a bare view that is received now was built. It returns false if none is known.
func (s *PlannerState) BareBuiltAfter(now time.Time, v *wire.View) (time.Time, bool) {
	if s.termStart.IsZero() || v.TermAge == 0 || v.Term != s.Term {
		return time.Time{}, false
	}
	made := s.termStart.Add(v.TermAge)
	if made.After(now) {
		made = now
	}
	return made, true
}

// Age returns the time since the planner last read the endpoints: changes since then may be missing in its views.
func (s *PlannerState) Age(now time.Time) time.Duration {
	return now.Sub(s.ReceivedAt) + s.Delay + s.ReadAge
}

// Apply stores a view that is received now and returns the required actions.
func (s *PlannerState) Apply(now time.Time, v *wire.View) Effects {
	effects := Effects{Acknowledge: v.Withdrawals > s.Withdrawals || v.Full, Resigned: v.Resigned && s.ResignedTerm < v.Term}
	s.Delay = s.updateDelay(now, v)
	s.Planner, s.Term = v.Planner, v.Term
	s.ReceivedAt, s.ReadAge, s.ConfirmedAge = now, v.ReadAge, v.ConfirmedAge
	s.Members, s.PlannerRevision, s.Withdrawals = v.Members, v.ConfigurationRevision, v.Withdrawals
	s.PlannerRequestsKeys = v.RequestsKeys
	s.Sequence = v.Sequence
	if effects.Resigned {
		s.ResignedTerm = v.Term
	}
	return effects
}

// Fresh reports whether the endpoints in the planner's views are reliable: the last view was built, and the endpoints were read,
// recently enough.
func (s *PlannerState) Fresh(now time.Time) bool {
	return now.Sub(s.ReceivedAt)+s.Delay < SilenceLimit && s.Age(now) < ReadAgeLimit
}

// Reset returns the state to keep when this instance stops planning and has to find the new planner.
func (s *PlannerState) Reset() PlannerState {
	return PlannerState{Members: s.Members, Term: s.Term}
}
