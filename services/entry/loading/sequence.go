// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// staleReportTimeout is how long a report with a sequence below the plan's is treated as outdated. After that the
// plan's sequence is replaced by the reported one. Reports lag by about 100 ms. A longer time leaves an endpoint
// without orders for longer; a shorter time costs reports and orders that fail, because the endpoint refuses an order
// with an outdated sequence.
const staleReportTimeout = 3 * time.Second

// sequenceTracker tracks an endpoint's sequence, the number of orders that it has accepted. The endpoint refuses an
// order that names a different sequence. An order is therefore safe if the plan knows what the endpoint holds at the
// sequence named in it. A sequence that is too low costs one refused order. A sequence that is too high could be
// reached by an order that the plan does not know of.
type sequenceTracker struct {
	// sequence is the number that the next order names.
	sequence int64
	// raisedAt is when a reply or a report last raised the sequence.
	raisedAt time.Time
	// unconfirmedUnloads holds the adapters of the latest orders, all of them unloads that the endpoint reported as
	// done at once; beforeUnloads is the sequence before them. It is unspecified whether an endpoint counts an unload
	// of an adapter that it does not hold (docs/questions.md, 11).
	unconfirmedUnloads []deployment.Adapter
	beforeUnloads      int64
}

// recordAccepted raises the sequence for an order that the endpoint accepted.
func (t *sequenceTracker) recordAccepted(now time.Time, order Order) {
	t.sequence, t.raisedAt = order.ExpectedSequence+1, now
	t.unconfirmedUnloads, t.beforeUnloads = nil, t.sequence
}

// recordUnload raises the sequence for an unload that the endpoint reported as done at once.
func (t *sequenceTracker) recordUnload(now time.Time, order Order) {
	t.sequence, t.raisedAt = order.ExpectedSequence+1, now
	t.unconfirmedUnloads = append(t.unconfirmedUnloads, order.Adapter)
}

// update takes over the sequence of a report. It returns false if the report is older than the state that the
// results of this plan's orders have shown.
func (t *sequenceTracker) update(now time.Time, report *Report) bool {
	if report.Sequence < t.sequence && !t.onlyNoopUnloadsSince(report) && now.Sub(t.raisedAt) < staleReportTimeout {
		return false
	}
	if report.Sequence > t.sequence {
		t.raisedAt = now
	}
	t.sequence, t.beforeUnloads, t.unconfirmedUnloads = report.Sequence, report.Sequence, nil
	return true
}

// onlyNoopUnloadsSince reports whether all orders since the report had no effect, that is, they were unloads of
// adapters that the report does not list.
func (t *sequenceTracker) onlyNoopUnloadsSince(report *Report) bool {
	if report.Sequence < t.beforeUnloads {
		return false
	}
	for _, adapter := range t.unconfirmedUnloads {
		if _, held := report.Adapters[adapter]; held || slices.Contains(report.Pending, adapter) {
			return false
		}
	}
	return true
}
