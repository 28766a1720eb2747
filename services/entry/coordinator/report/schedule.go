// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report

import "time"

const (
	// Interval is the maximum interval of reports in a small fleet.
	Interval = 250 * time.Millisecond
	// UrgentInterval is the minimum interval of reports about waiting requests in a small fleet. A shorter interval starts loads
	// earlier, but takes more of the planner's processor time.
	UrgentInterval = 2 * time.Millisecond
	// AcknowledgeInterval is the minimum interval of reports that only acknowledge withdrawals in a small fleet. Each withdrawal makes
	// all members report at once.
	AcknowledgeInterval = 5 * time.Millisecond
	// MaxUnstretchedMembers is the number of instances up to which no interval is stretched.
	MaxUnstretchedMembers = 16
)

// Stretch returns the interval for a fleet of the given number of members. It is proportional to the size of a large fleet, so that
// the messages of the planner grow more slowly than the fleet.
func Stretch(pause time.Duration, members int) time.Duration {
	return pause * time.Duration(max(MaxUnstretchedMembers, members)) / MaxUnstretchedMembers
}

// Schedule decides when the next report is sent. The zero value is due at once.
type Schedule struct {
	// sent is when the last report was sent, by the clock of this instance.
	sent time.Time
	// urgent requests a report about waiting requests, acknowledge a report that acknowledges withdrawals.
	urgent      bool
	acknowledge bool
}

// Request requests a report about waiting requests and reports whether it is due now.
func (s *Schedule) Request(now time.Time, members int) bool {
	if now.Sub(s.sent) >= Stretch(UrgentInterval, members) {
		return true
	}
	s.urgent = true
	return false
}

// RequestAcknowledge requests a report that acknowledges withdrawals and reports whether it is due now.
func (s *Schedule) RequestAcknowledge(now time.Time, members int) bool {
	s.acknowledge = true
	return now.Sub(s.sent) >= Stretch(AcknowledgeInterval, members)
}

// Due reports whether a report is due, on request or by its interval.
func (s *Schedule) Due(now time.Time, members int) bool {
	age := now.Sub(s.sent)
	switch {
	case s.urgent && age >= Stretch(UrgentInterval, members):
		return true
	case s.acknowledge && age >= Stretch(AcknowledgeInterval, members):
		return true
	default:
		return age >= Stretch(Interval, members)
	}
}

// Skip records that a report was due but no planner was connected. Requested reports remain requested.
func (s *Schedule) Skip(now time.Time) {
	s.sent = now
}

// Restart makes a report due at once, for a new link. Requested reports remain requested.
func (s *Schedule) Restart() {
	s.sent = time.Time{}
}

// MarkSent records that a report is sent now.
func (s *Schedule) MarkSent(now time.Time) {
	*s = Schedule{sent: now}
}
