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
	// rewriting is how many of this holder's own writes are under way, and rewritten when the last of them was answered.
	rewriting int
	rewritten time.Time
}

// Begin starts to hold a lease: the record was committed at a revision by a call sent at a time and
// answered at another. wait comes from Options.Wait.
func Begin(options Options, record Record, revision int64, sent, answered time.Time, wait time.Duration) *Lease {
	return &Lease{options: options, record: record, revision: revision, confirmed: sent, ordersAt: answered.Add(wait)}
}

// Record gives the record as this holder last wrote it.
func (l *Lease) Record() Record {
	return l.record
}

// Revision gives the revision of the record as this holder last wrote it.
func (l *Lease) Revision() int64 {
	return l.revision
}

// Waited tells whether the former holder's time is surely over.
func (l *Lease) Waited(now time.Time) bool {
	return !l.over && !now.Before(l.ordersAt)
}

// Remaining is how long the former holder's time still has to be waited for.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return max(0, l.ordersAt.Sub(now))
}

// Confirm takes in a linearizable read sent at a time: the record is still this holder's if its revision is unchanged. A read beside a
// write of this holder's own may find the revision before it or after it, and says nothing where it differs: it ended the term of a
// planner that stopped before its members were told.
func (l *Lease) Confirm(sent time.Time, revision int64) {
	if revision != l.revision {
		l.over = l.over || (l.rewriting == 0 && sent.After(l.rewritten))
		return
	}
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
}

// BeginRewrite notes that a write of this holder's own begins; EndRewrite must follow.
func (l *Lease) BeginRewrite() {
	l.rewriting++
}

// EndRewrite notes that the write was answered, or is given up.
func (l *Lease) EndRewrite(now time.Time) {
	l.rewriting--
	l.rewritten = now
}

// Rewriting tells whether a write of this holder's own is under way, so that the record may be another one than is known here.
func (l *Lease) Rewriting() bool {
	return l.rewriting > 0
}

// NoteRewritten takes in that this holder changed its own record by a call sent at a time.
func (l *Lease) NoteRewritten(sent time.Time, record Record, revision int64) {
	l.record = record
	l.revision = revision
	if sent.After(l.confirmed) {
		l.confirmed = sent
	}
}

// End gives the lease up for good.
func (l *Lease) End() {
	l.over = true
}

// Over tells whether another instance is known to have the record, or it was given up.
func (l *Lease) Over() bool {
	return l.over
}

// MayOrder tells whether an order may be sent now.
func (l *Lease) MayOrder(now time.Time) bool {
	return l.Waited(now) && l.record.Ordering && now.Sub(l.confirmed) < l.options.Window
}

// ConfirmedAge is how long ago the read was sent that last confirmed the record.
func (l *Lease) ConfirmedAge(now time.Time) time.Duration {
	return now.Sub(l.confirmed)
}
