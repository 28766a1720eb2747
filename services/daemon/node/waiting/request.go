// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package waiting

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// wrongPlacerDelay is the time after which a request is submitted again if the instance it was sent to is not the pool's placer. A shorter
// time submits the request before the new placer is known; a longer one prolongs the request's wait.
const wrongPlacerDelay = 50 * time.Millisecond

// Request is a request of this instance that waits for a ticket.
type Request struct {
	Request fleet.Request
	// Halls are the halls that a rule allows; empty for all.
	Halls []string
	// Pool is the chosen pool; Placer is the placer to which the request was last submitted. They are empty before that.
	Pool   string
	Placer fleet.Instance
	// submitAt is the time of the next submission; noPlacerSince is the time since which the pool has had no placer.
	submitAt      time.Time
	noPlacerSince time.Time
}

// MarkSubmitted counts the request as submitted now. Without an answer it is submitted again after retry.
func (r *Request) MarkSubmitted(now time.Time, retry time.Duration) {
	r.submitAt = now.Add(retry)
}

// SetPlacer stores the placer to which the request was submitted.
func (r *Request) SetPlacer(placer fleet.Instance) {
	r.noPlacerSince = time.Time{}
	r.Placer = placer
}

// RecordNoPlacer records that the pool has no placer now. It reports whether that has been the case for at least limit.
func (r *Request) RecordNoPlacer(now time.Time, limit time.Duration) bool {
	if r.noPlacerSince.IsZero() {
		r.noPlacerSince = now
	}
	return now.Sub(r.noPlacerSince) >= limit
}

// RecordWrongPlacer schedules the next submission after wrongPlacerDelay, because the instance it was
// sent to is not the pool's placer.
func (r *Request) RecordWrongPlacer(now time.Time) {
	r.submitAt = now.Add(wrongPlacerDelay)
}

// ResubmitNow makes the next submission due at once.
func (r *Request) ResubmitNow(now time.Time) {
	r.submitAt = now
}

// SubmitDue reports whether the next submission is due.
func (r *Request) SubmitDue(now time.Time) bool {
	return !now.Before(r.submitAt)
}

// Requests are the waiting requests, by identifier.
type Requests struct {
	byID map[string]*Request
}

// NewRequests returns an empty set.
func NewRequests() Requests {
	return Requests{byID: make(map[string]*Request)}
}

// Add adds a request.
func (q Requests) Add(r *Request) {
	q.byID[r.Request.ID] = r
}

// Find returns the waiting request with the identifier.
func (q Requests) Find(id string) (*Request, bool) {
	r, ok := q.byID[id]
	return r, ok
}

// FindAttempt returns the waiting request with the identifier, if its current attempt is the given
// one. An answer to an earlier attempt is late and must be ignored.
func (q Requests) FindAttempt(id string, attempt int) (*Request, bool) {
	r, ok := q.byID[id]
	return r, ok && r.Request.Attempt == attempt
}

// Remove removes a request.
func (q Requests) Remove(id string) {
	delete(q.byID, id)
}

// Empty reports whether no request waits.
func (q Requests) Empty() bool {
	return len(q.byID) == 0
}

// Sorted returns the requests, sorted by identifier.
func (q Requests) Sorted() []*Request {
	out := make([]*Request, 0, len(q.byID))
	for _, r := range q.byID {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Request) int { return cmp.Compare(a.Request.ID, b.Request.ID) })
	return out
}
