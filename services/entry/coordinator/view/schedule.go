// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package view

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
)

const (
	// HeartbeatInterval is the maximum interval of views, with or without changes. It does not grow with the fleet, since members must
	// detect a lost planner as soon in a large fleet.
	HeartbeatInterval = 400 * time.Millisecond
	// MinChangeInterval is the minimum interval of views with changes in a small fleet. A shorter interval sends changes earlier, but
	// takes more of the planner's processor time and link.
	MinChangeInterval = 4 * time.Millisecond
)

// Due is the decision whether a view is sent.
type Due int

// The decisions whether a view is sent.
const (
	// NotYet means that the last view was sent too recently.
	NotYet Due = iota
	// OnlyChanges means that a view is sent only if something has changed.
	OnlyChanges
	// Now means that a view is sent even without changes.
	Now
)

// Schedule decides when the planner sends views. The zero value has sent none.
type Schedule struct {
	// sent is when the last view was sent, totalsSent when the last view with all totals was sent.
	sent       time.Time
	totalsSent time.Time
}

// TotalsDue reports whether a view with all totals is due in a fleet of the given number of members.
func (s *Schedule) TotalsDue(now time.Time, members int) bool {
	return now.Sub(s.totalsSent) >= report.Stretch(report.Interval, members)
}

// Due decides whether a view without totals is due in a fleet of the given number of members.
func (s *Schedule) Due(now time.Time, members int) Due {
	age := now.Sub(s.sent)
	switch {
	case age >= HeartbeatInterval:
		return Now
	case age < report.Stretch(MinChangeInterval, members):
		return NotYet
	default:
		return OnlyChanges
	}
}

// MarkSent records that a view is sent now, with or without totals.
func (s *Schedule) MarkSent(now time.Time, totals bool) {
	s.sent = now
	if totals {
		s.totalsSent = now
	}
}
