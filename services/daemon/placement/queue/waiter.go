// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// maxHoldShare is the share of the time until its deadline for which a patient request may be held back. A higher share fills batches better
// but leaves less time to run the request.
const maxHoldShare = 0.2

// Waiter is a queued request.
type Waiter struct {
	Request fleet.Request
	Class   fleet.Class
	// Queued is when the request was queued.
	Queued time.Time
	// startTag is the start of the request in the virtual time of its class, in tokens.
	startTag float64
	sequence uint64
	removed  bool
	// holdUntil is when the request must start if it is patient, and holdIndex its index in the adapter's patientHolds.
	holdUntil time.Time
	holdIndex int
	// deadlineIndex is the index of a request with a deadline in the queue's deadlines.
	deadlineIndex int
}

// Before reports whether w starts before other, which may be nil. The priority, raised by one
// level per aging of waiting time, is compared first, then the class name, the start tag and
// the order of arrival.
func (w *Waiter) Before(other *Waiter, now time.Time, aging time.Duration) bool {
	if other == nil {
		return true
	}
	a, b := w.effectivePriority(now, aging), other.effectivePriority(now, aging)
	if a != b {
		return a > b
	}
	if w.Class.Name != other.Class.Name {
		return w.Class.Name < other.Class.Name
	}
	if w.startTag != other.startTag {
		return w.startTag < other.startTag
	}
	return w.sequence < other.sequence
}

func (w *Waiter) effectivePriority(now time.Time, aging time.Duration) int {
	effectivePriority := w.Request.Priority
	if aging > 0 {
		effectivePriority += int(now.Sub(w.Queued) / aging)
	}
	return effectivePriority
}

// holdLimit returns how long a patient request may be held back to fill a batch.
func (w *Waiter) holdLimit(now time.Time, hold time.Duration) time.Duration {
	if w.Request.Deadline.IsZero() {
		return hold
	}
	return min(hold, time.Duration(maxHoldShare*float64(w.Request.Deadline.Sub(now))))
}
