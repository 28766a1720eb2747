// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

// FormerOwner is one run of an instance that owned a pool and may still grant tickets. It is
// stored with the pool's owner under its field names, which must not change.
type FormerOwner struct {
	ID   string
	Boot uint64
}

// minAbsence is the time for which an instance must be missing from the platform's list before it counts as gone. It must exceed the lag of
// the list. A longer time keeps a pool frozen longer after a loss; a shorter one relies on the list too soon (assumption A2 of
// docs/design/0002).
const minAbsence = 10 * time.Second

// Evidence is a node's information about a former owner at one moment.
type Evidence struct {
	// Self is true if the former owner is a run of the node's own instance, whose grants the node knows.
	Self bool
	// Alive is true while heartbeats of the instance arrive. Boot and Holds are taken from them.
	Alive bool
	Boot  uint64
	// Holds is true while the instance announces that it is the pool's placer.
	Holds bool
	// GoneSince is the time since which the instance has been missing from the platform's list; zero if it is listed.
	GoneSince time.Time
}

// Ended reports whether the evidence shows that the former owner no longer grants tickets: its
// heartbeats come from another run or do not announce the pool, or the platform's list has not
// contained it for minAbsence. Missing heartbeats alone are no evidence.
func (f FormerOwner) Ended(now time.Time, e Evidence) bool {
	if e.Self {
		return true
	}
	if e.Alive {
		return e.Boot != f.Boot || !e.Holds
	}
	return !e.GoneSince.IsZero() && now.Sub(e.GoneSince) >= minAbsence
}

// Succession tracks a new owner's wait for the end of a pool's former owners.
// The zero value waits for no former owner.
type Succession struct {
	waiting []FormerOwner
	frozen  bool
	ended   time.Time
	settled bool
}

// UnknownSuccession returns the succession before the pool's stored owner has been read. Nothing may be unloaded.
func UnknownSuccession() Succession {
	return Succession{frozen: true}
}

// NewSuccession returns the succession to the former owners that are stored for a pool, without the run
// that handed the pool over.
func NewSuccession(stored []FormerOwner, handedBy FormerOwner) Succession {
	var s Succession
	for _, f := range stored {
		if f != handedBy && f.ID != "" {
			s.waiting = append(s.waiting, f)
		}
	}
	s.frozen = len(s.waiting) > 0
	return s
}

// Unfrozen returns the succession without its freeze. It is a seeded fault, which tests enable to
// verify that their checks detect it.
func (s Succession) Unfrozen() Succession {
	s.frozen = false
	return s
}

// Frozen reports whether unloading must wait for the end of former owners.
func (s *Succession) Frozen() bool {
	return s.frozen
}

// Waiting returns the former owners that were not known to have ended at the takeover.
func (s *Succession) Waiting() []FormerOwner {
	return s.waiting
}

// CheckEnded tests whether all former owners have ended, and stores the time of the first check at which they had.
func (s *Succession) CheckEnded(now time.Time, ended func(FormerOwner) bool) {
	if !s.frozen || !s.ended.IsZero() {
		return
	}
	for _, f := range s.waiting {
		if !ended(f) {
			return
		}
	}
	s.ended = now
}

// CoversGrants reports whether an endpoint inspection that began at the given time shows every
// request that a former owner granted. grantLife is the maximum time from a grant to the
// start of its request. CoversGrants returns false if there is no freeze to lift.
func (s *Succession) CoversGrants(began time.Time, grantLife time.Duration) bool {
	if !s.frozen || s.ended.IsZero() {
		return false
	}
	return !began.Before(s.ended.Add(grantLife))
}

// SettleOnce reports whether the end of the former owners must be stored now: true on the first call only.
func (s *Succession) SettleOnce() bool {
	if s.settled {
		return false
	}
	s.settled = true
	return true
}
