// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"hash/fnv"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// trialTimeout is how long the outcome of a trial is awaited before another trial is allowed.
	trialTimeout = 10 * time.Second
	// trialRetryAfter is when callers may retry a request that arrived during a trial, which seldom takes longer.
	trialRetryAfter = time.Second
	// claimDelay is how long an instance waits for the claims of other instances before it makes a trial. A claim takes a report to the
	// planner and a view to the others.
	claimDelay = 300 * time.Millisecond
)

// trial is one sending of a suspected request at one instance, whose outcome is the next crash or a complete response. Instances that want
// to make it at the same time each claim it, and the claim with the lowest ticket wins.
type trial struct {
	claimedAt time.Time
	// ticket is the lowest ticket of the claims. It is 0 for an instance of an earlier version, which makes the trial at once.
	ticket uint64
	// own reports whether this instance claimed the trial, and started whether it has sent the request.
	own, started bool
}

// isOpen reports whether the outcome of the trial is still awaited.
func (r trial) isOpen(now time.Time) bool {
	return !r.claimedAt.IsZero() && now.Sub(r.claimedAt) < trialTimeout
}

// Admit decides whether a request that arrived, or that is to be retried, may be sent now. It returns true if not: the request is
// quarantined, or Hold.Pending is set. It must be called again later for a pending request.
//
// The more crashes a request has, the fewer endpoints it is sent to at a time, before anything is proved against it: after one crash to one
// endpoint at a time by each instance, after crashThreshold to one endpoint at a time by all instances together. Otherwise many callers would
// make it crash an endpoint each before the first crash is known everywhere.
func (t *Table) Admit(now time.Time, request fingerprint.Fingerprint) (Hold, bool) {
	if t.suspects[request] == nil {
		return Hold{}, false
	}
	hold, held := t.Held(now, request)
	if held {
		return hold, true
	}
	crashes := t.countedCrashes(request)
	if hold.Endpoints == nil && (len(crashes) == 0 || countEvents(crashes) == 1 && answeredBefore(crashes)) {
		return Hold{}, false
	}
	if remaining := t.suspects[request].lastCrash().Add(reportDelay).Sub(now); remaining > 0 {
		return Hold{Remaining: remaining, Pending: true}, true
	}
	if len(crashes) >= crashThreshold {
		remaining, pending, admitted := t.admitTrial(now, request)
		return Hold{Remaining: remaining, Pending: pending, Trial: admitted, Endpoints: hold.Endpoints}, !admitted
	}
	if t.inFlight[request] > 0 {
		return Hold{Pending: true}, true
	}
	return Hold{}, false
}

// AdmitPart decides whether a request may be sent now as far as a part of its prompt is concerned, which other requests have as well. It
// returns true if not: the part is quarantined, or Hold.Pending is set. Unlike requests, parts are not held back before anything is proved
// against them, since most of those that were in flight at an endpoint are harmless.
func (t *Table) AdmitPart(now time.Time, part fingerprint.Fingerprint) (Hold, bool) {
	hold, held := t.Held(now, part)
	switch {
	case held:
		return hold, true
	case hold.Endpoints == nil:
		return Hold{}, false
	}
	remaining, pending, admitted := t.admitTrial(now, part)
	return Hold{Remaining: remaining, Pending: pending, Trial: admitted, Endpoints: hold.Endpoints}, !admitted
}

// admitTrial decides whether a request may be sent as a trial now, and for how long it is held if not.
func (t *Table) admitTrial(now time.Time, request fingerprint.Fingerprint) (remaining time.Duration, pending, admitted bool) {
	current := &t.suspects[request].trial
	if !current.isOpen(now) {
		*current = trial{claimedAt: now, ticket: t.ticket(request), own: true}
		// Publishing the claim keeps the other instances from making a trial at the same time.
		t.publish(Crash{Request: request, Ticket: current.ticket}, now)
	}
	if !current.own || current.started || current.ticket != t.ticket(request) {
		return min(current.claimedAt.Add(trialTimeout).Sub(now), trialRetryAfter), false, false
	}
	if remaining := current.claimedAt.Add(t.claimDelay).Sub(now); remaining > 0 {
		return remaining, true, false
	}
	current.started = true
	return 0, false, true
}

// ticket returns the ticket of this instance for trials of a request. It differs between instances and is never 0.
func (t *Table) ticket(request fingerprint.Fingerprint) uint64 {
	hash := fnv.New64a()
	hash.Write(request[:])
	hash.Write([]byte(t.instance))
	return hash.Sum64() | 1
}

// recordTrial records that another instance claims a trial of a request.
func (t *Table) recordTrial(at time.Time, claim Crash, publish bool) {
	known := t.suspects[claim.Request]
	if known == nil {
		return
	}
	current := &known.trial
	switch {
	case current.isOpen(at) && current.ticket <= claim.Ticket:
		return
	case current.isOpen(at):
		current.ticket = claim.Ticket
	case at.After(current.claimedAt):
		*current = trial{claimedAt: at, ticket: claim.Ticket}
	default:
		return
	}
	if publish {
		t.publish(claim, at)
	}
}

// RecordSent records that this instance sends a request to an endpoint. RecordEnded must be called when the exchange has ended.
func (t *Table) RecordSent(request fingerprint.Fingerprint) {
	t.inFlight[request]++
}

// RecordEnded records that an exchange of a request has ended, after its crash or complete response was recorded.
func (t *Table) RecordEnded(request fingerprint.Fingerprint) {
	if t.inFlight[request]--; t.inFlight[request] <= 0 {
		delete(t.inFlight, request)
	}
}
