// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

// Lease is one instance's hold on the planner's record during one term. It is not safe for concurrent use.
type Lease struct {
	options     Options
	record      Record
	revision    int64
	waitUntil   time.Time
	confirmedAt time.Time
	ended       bool
	// pendingRewrites is the number of this holder's writes in progress; lastRewriteAt is when the last of them
	// ended.
	pendingRewrites int
	lastRewriteAt   time.Time
}

// Begin returns the lease for a record that was committed at a revision by a call sent and answered at the given
// times. wait is the result of Options.Wait.
func Begin(options Options, record Record, revision int64, sent, answered time.Time, wait time.Duration) *Lease {
	return &Lease{options: options, record: record, revision: revision, confirmedAt: sent, waitUntil: answered.Add(wait)}
}

// Record returns the record as last written by this holder.
func (l *Lease) Record() Record {
	return l.record
}

// Revision returns the revision of the record as last written by this holder.
func (l *Lease) Revision() int64 {
	return l.revision
}

// WaitOver reports whether the former holder certainly can send no more orders.
func (l *Lease) WaitOver(now time.Time) bool {
	return !l.ended && !now.Before(l.waitUntil)
}

// RemainingWait returns the remaining time until WaitOver reports true.
func (l *Lease) RemainingWait(now time.Time) time.Duration {
	return max(0, l.waitUntil.Sub(now))
}

// Confirm evaluates a linearizable read sent at the given time: the record is still this holder's if its revision is
// unchanged. A read concurrent with a write of this holder may return the revision before or after the write, so a
// different revision is ignored then. When it was not ignored, it ended the term of a stopping planner before its
// members were informed.
func (l *Lease) Confirm(sent time.Time, revision int64) {
	if revision != l.revision {
		l.ended = l.ended || (l.pendingRewrites == 0 && sent.After(l.lastRewriteAt))
		return
	}
	if sent.After(l.confirmedAt) {
		l.confirmedAt = sent
	}
}

// BeginRewrite records the start of a write by this holder. EndRewrite must follow.
func (l *Lease) BeginRewrite() {
	l.pendingRewrites++
}

// EndRewrite records that the write was answered or abandoned.
func (l *Lease) EndRewrite(now time.Time) {
	l.pendingRewrites--
	l.lastRewriteAt = now
}

// Rewriting reports whether a write by this holder is in progress, so that the stored record may differ from Record.
func (l *Lease) Rewriting() bool {
	return l.pendingRewrites > 0
}

// RecordRewrite records that this holder changed its record by a call sent at the given time.
func (l *Lease) RecordRewrite(sent time.Time, record Record, revision int64) {
	l.record = record
	l.revision = revision
	if sent.After(l.confirmedAt) {
		l.confirmedAt = sent
	}
}

// End ends the lease permanently.
func (l *Lease) End() {
	l.ended = true
}

// Ended reports whether another instance is known to hold the record, or the lease was ended.
func (l *Lease) Ended() bool {
	return l.ended
}

// MayOrder reports whether an order may be sent now.
func (l *Lease) MayOrder(now time.Time) bool {
	return l.WaitOver(now) && l.record.Ordering && now.Sub(l.confirmedAt) < l.options.Window
}

// ConfirmedAge returns the time since the last read that confirmed the record was sent.
func (l *Lease) ConfirmedAge(now time.Time) time.Duration {
	return now.Sub(l.confirmedAt)
}
