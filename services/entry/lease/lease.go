// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

// Lease is one instance's hold on the planner's record in one term; it is not safe for concurrent use.
type Lease struct {
	options   Options
	record    Record
	revision  int64
	ordersAt  time.Time
	confirmed time.Time
	over      bool
}

// Begin starts to hold a lease: the record was committed at a revision by a call sent at a time and
// answered at another. wait comes from Options.Wait.
func Begin(options Options, record Record, revision int64, sent, answered time.Time, wait time.Duration) *Lease {
	return &Lease{options: options, record: record, revision: revision, confirmed: sent, ordersAt: answered.Add(wait)}
}

// Record gives the record as this holder last wrote it.
func (t *Lease) Record() Record {
	return t.record
}

// Revision gives the revision of the record as this holder last wrote it.
func (t *Lease) Revision() int64 {
	return t.revision
}

// Waited tells whether the former holder's time is surely over.
func (t *Lease) Waited(now time.Time) bool {
	return !t.over && !now.Before(t.ordersAt)
}

// Remaining is how long the former holder's time still has to be waited for.
func (t *Lease) Remaining(now time.Time) time.Duration {
	return max(0, t.ordersAt.Sub(now))
}

// Confirm takes in a linearizable read sent at a time: the record is still this holder's if
// its revision is unchanged.
func (t *Lease) Confirm(sent time.Time, revision int64) {
	if revision != t.revision {
		t.over = true
		return
	}
	if sent.After(t.confirmed) {
		t.confirmed = sent
	}
}

// Rewrite takes in that this holder changed its own record by a call sent at a time.
func (t *Lease) Rewrite(sent time.Time, record Record, revision int64) {
	t.record = record
	t.revision = revision
	if sent.After(t.confirmed) {
		t.confirmed = sent
	}
}

// End gives the lease up for good.
func (t *Lease) End() {
	t.over = true
}

// Over tells whether another instance is known to have the record, or it was given up.
func (t *Lease) Over() bool {
	return t.over
}

// MayOrder tells whether an order may be sent now.
func (t *Lease) MayOrder(now time.Time) bool {
	return t.Waited(now) && t.record.Ordering && now.Sub(t.confirmed) < t.options.Window
}

// Age is how long ago the read was sent that last confirmed the record.
func (t *Lease) Age(now time.Time) time.Duration {
	return now.Sub(t.confirmed)
}
