// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package digest

import "time"

// quietFactor multiplies the interval between two digests while nothing changes. A higher factor sends less and detects the silence of a
// hall later. The resulting interval must stay below the silence after which a hall counts as cut off.
const quietFactor = 4

// AnnouncedState is the state, besides that of the slots, whose changes other halls must receive soon.
type AnnouncedState struct {
	// Revision is the revision in force on this instance; LowestRevision is the lowest revision in force in the hall.
	Revision, LowestRevision int64
	// TermSum is the sum of the placers' terms; PoolsWithPlacer is the number of pools with a placer.
	TermSum         uint64
	PoolsWithPlacer int
}

// Schedule decides when a hall's speaker sends digests, and which of them contain full summaries.
type Schedule struct {
	interval     time.Duration
	fullInterval time.Duration
	sentAt       time.Time
	fullSentAt   time.Time
	sentState    AnnouncedState
	number       uint64
}

// NewSchedule returns a schedule that sends digests each interval while the state changes, and
// full summaries each time that fullInterval has passed.
func NewSchedule(interval, fullInterval time.Duration) Schedule {
	return Schedule{interval: interval, fullInterval: fullInterval}
}

// Due reports whether digests must be sent now. The interval is short while the state or the slots
// change, and longer otherwise.
func (s *Schedule) Due(now time.Time, state AnnouncedState, changing func() bool) bool {
	interval := s.interval
	if state == s.sentState && !changing() {
		interval *= quietFactor
	}
	return now.Sub(s.sentAt) >= interval
}

// RecordSent records that digests with the given state are sent now. It reports whether they must contain full
// summaries. Later digests make up for a lost one, since each contains the complete state, and the
// receiver requests the summaries that it has missed.
func (s *Schedule) RecordSent(now time.Time, state AnnouncedState) bool {
	s.sentAt = now
	s.sentState = state
	s.number++
	full := now.Sub(s.fullSentAt) >= s.fullInterval
	if full {
		s.fullSentAt = now
	}
	return full
}

// Number returns the number of times that digests were sent.
func (s *Schedule) Number() uint64 {
	return s.number
}

// MakeDue makes the next digests due at once.
func (s *Schedule) MakeDue() {
	s.sentAt = time.Time{}
}
