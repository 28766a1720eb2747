// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	// MaxRequestHold is the maximum time for which requests wait until the last endpoint of a pool has answered a takeover. A longer time
	// offers more endpoints to choose from; a shorter one starts requests sooner.
	MaxRequestHold = 400 * time.Millisecond
	// maxFenceLosses limits the doubling of the pause after an endpoint's fence was lost to another instance, to at most 31 retry times.
	// Without the pause, two instances that cannot reach each other would keep the endpoint busy by taking it over from each other.
	maxFenceLosses = 5
	// fenceLossWindow is the time without a fence loss after which the pause starts from its minimum again.
	fenceLossWindow = time.Minute
)

// Takeover tracks the progress of a takeover of a pool's endpoints, and the endpoints'
// inspections after it.
type Takeover struct {
	began     time.Time
	endpoints []fleet.Endpoint
	retry     time.Duration
	inspect   time.Duration
	// takenOver has an entry for each endpoint that has answered this takeover. The entry is
	// false if the endpoint must be taken over again.
	takenOver       map[string]bool
	orderedAt       map[string]time.Time
	inspectedAt     map[string]time.Time
	fenceLosses     int
	lastFenceLossAt time.Time
}

// NewTakeover starts a takeover. An unanswered takeover order is repeated after retry, and an
// endpoint is inspected each time that inspect has passed.
func NewTakeover(now time.Time, endpoints []fleet.Endpoint, retry, inspect time.Duration) *Takeover {
	return &Takeover{
		began: now, endpoints: endpoints, retry: retry, inspect: inspect,
		takenOver: make(map[string]bool), orderedAt: make(map[string]time.Time), inspectedAt: make(map[string]time.Time),
	}
}

// Age returns the time since the takeover began.
func (t *Takeover) Age(now time.Time) time.Duration {
	return now.Sub(t.began)
}

// OrdersDue returns the endpoints to which to send takeover orders now, and counts the orders as sent.
func (t *Takeover) OrdersDue(now time.Time) []fleet.Endpoint {
	var due []fleet.Endpoint
	for _, e := range t.endpoints {
		last := t.orderedAt[e.Name]
		if t.takenOver[e.Name] || (!last.IsZero() && now.Sub(last) < t.retry) {
			continue
		}
		t.orderedAt[e.Name] = now
		due = append(due, e)
	}
	return due
}

// IsTakenOver reports whether the endpoint has been taken over.
func (t *Takeover) IsTakenOver(endpoint string) bool {
	return t.takenOver[endpoint]
}

// MarkTakenOver marks an endpoint as taken over and, since the answer contained an inspection, as inspected.
func (t *Takeover) MarkTakenOver(now time.Time, endpoint string) {
	t.takenOver[endpoint] = true
	t.inspectedAt[endpoint] = now
}

// RepeatOrder makes a new takeover order to an endpoint due at once, after the endpoint has lost its fence by a restart.
func (t *Takeover) RepeatOrder(endpoint string) {
	t.takenOver[endpoint] = false
	t.orderedAt[endpoint] = time.Time{}
}

// RecordFenceLoss schedules a new takeover order to an endpoint that holds another instance's fence. Two
// instances that cannot reach each other may both consider themselves the pool's placer, so the
// pause doubles with each loss.
func (t *Takeover) RecordFenceLoss(now time.Time, endpoint string) {
	if now.Sub(t.lastFenceLossAt) > fenceLossWindow {
		t.fenceLosses = 0
	}
	t.lastFenceLossAt = now
	t.fenceLosses = min(t.fenceLosses+1, maxFenceLosses)
	t.takenOver[endpoint] = false
	// The order is due one retry time after orderedAt, that is 1, 3, 7, 15 and 31 retry times after the loss.
	pause := t.retry * (1<<t.fenceLosses - 1)
	t.orderedAt[endpoint] = now.Add(pause - t.retry)
}

// AllAnswered reports whether every endpoint has answered this takeover at least once.
func (t *Takeover) AllAnswered() bool {
	return len(t.takenOver) >= len(t.endpoints)
}

// HoldsRequests reports whether new requests must wait for more endpoints to answer.
func (t *Takeover) HoldsRequests(now time.Time) bool {
	return !t.AllAnswered() && t.Age(now) <= MaxRequestHold
}

// InspectionsDue returns the taken-over endpoints to inspect now, and counts them as inspected.
func (t *Takeover) InspectionsDue(now time.Time) []fleet.Endpoint {
	var due []fleet.Endpoint
	for _, e := range t.endpoints {
		if !t.takenOver[e.Name] || now.Sub(t.inspectedAt[e.Name]) < t.inspect {
			continue
		}
		t.inspectedAt[e.Name] = now
		due = append(due, e)
	}
	return due
}

// MarkInspected counts an endpoint as inspected now.
func (t *Takeover) MarkInspected(now time.Time, endpoint string) {
	t.inspectedAt[endpoint] = now
}
