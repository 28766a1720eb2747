// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report

import "time"

const (
	// Pace is the longest pause between two reports of a small fleet.
	Pace = 250 * time.Millisecond
	// UrgentPace is the least pause between two reports of a small fleet about requests that wait: shorter trades the planner's processor
	// time for an earlier load.
	UrgentPace = 2 * time.Millisecond
	// AcknowledgePace is the least pause between two reports of a small fleet that only acknowledge withdrawals: each withdrawal
	// has all members report at once.
	AcknowledgePace = 5 * time.Millisecond
	// MembersAtPace is the number of instances up to which no pause is stretched.
	MembersAtPace = 16
)

// Stretch gives a pause for a fleet of members: it grows with the fleet, so that what the planner sends and receives
// grows more slowly than the fleet.
func Stretch(pause time.Duration, members int) time.Duration {
	return pause * time.Duration(max(MembersAtPace, members)) / MembersAtPace
}

// Schedule decides when the next report goes out. The zero value is due at once.
type Schedule struct {
	// sent is when the last report went out, on the own clock.
	sent time.Time
	// urgent asks for a report about requests that wait, acknowledge for one about withdrawals.
	urgent      bool
	acknowledge bool
}

// Ask wants a report about requests that wait and tells whether it is due now.
func (s *Schedule) Ask(now time.Time, members int) bool {
	if now.Sub(s.sent) >= Stretch(UrgentPace, members) {
		return true
	}
	s.urgent = true
	return false
}

// AskAcknowledge wants a report that acknowledges withdrawals and tells whether it is due now.
func (s *Schedule) AskAcknowledge(now time.Time, members int) bool {
	s.acknowledge = true
	return now.Sub(s.sent) >= Stretch(AcknowledgePace, members)
}

// Due tells whether a report is due, asked for or by its pace.
func (s *Schedule) Due(now time.Time, members int) bool {
	age := now.Sub(s.sent)
	switch {
	case s.urgent && age >= Stretch(UrgentPace, members):
		return true
	case s.acknowledge && age >= Stretch(AcknowledgePace, members):
		return true
	default:
		return age >= Stretch(Pace, members)
	}
}

// Skip notes that a report was due but there was no planner to send it to; what was asked for still is.
func (s *Schedule) Skip(now time.Time) {
	s.sent = now
}

// Restart makes a report due at once, for a new link; what was asked for still is.
func (s *Schedule) Restart() {
	s.sent = time.Time{}
}

// Sent notes that a report goes out now.
func (s *Schedule) Sent(now time.Time) {
	*s = Schedule{sent: now}
}
