// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import (
	"slices"
	"time"
)

// GrantTTL is how long after it was granted a request may be sent. A longer time tolerates slower connections; a shorter one allows
// fewer saved-up requests to be sent at once.
const GrantTTL = time.Second

// Allowance holds the requests that one instance may send to one endpoint. The zero value allows any number.
type Allowance struct {
	ReportedLimit

	// allocated is set if the planner allocates the limit, according to its last message.
	allocated bool
	// grantExpirations are the expiration times of granted requests, the earliest first.
	grantExpirations []time.Time
	// ownShare is the instance's own share of the limit, which is used while no planner allocates the limit; usesOwnShare is set
	// then.
	ownShare     tokenBucket
	usesOwnShare bool
	// waiting is the number of requests that wait for the endpoint's limit at all instances, according to the planner's last message.
	waiting int
}

// Fleet is what an instance knows about the fleet when it refreshes its allowances.
type Fleet struct {
	// PlannerReachable is set if grants of the planner would reach this instance.
	PlannerReachable bool
	// Members is the number of instances, at least 1.
	Members int
	// Random is a number in [0, 1).
	Random float64
}

// Admits reports whether a request may be sent now.
func (a *Allowance) Admits(now time.Time) bool {
	return !a.HasLimit() || a.hasGrant(now) || (a.usesOwnShare && a.ownShare.hasToken())
}

// Consume uses up one allowed request, which is sent now.
func (a *Allowance) Consume(now time.Time) {
	switch {
	case !a.HasLimit():
	case a.hasGrant(now):
		a.grantExpirations = a.grantExpirations[1:]
	default:
		a.ownShare.takeToken()
	}
}

// hasGrant reports whether a request that the planner granted may be sent.
func (a *Allowance) hasGrant(now time.Time) bool {
	a.grantExpirations = slices.DeleteFunc(a.grantExpirations, func(until time.Time) bool { return !now.Before(until) })
	return len(a.grantExpirations) > 0
}

// NeedsGrant reports whether the endpoint has a limit, and this instance has no granted request left.
func (a *Allowance) NeedsGrant(now time.Time) bool {
	return a.HasLimit() && !a.hasGrant(now)
}

// Grant adds requests that the planner granted to this instance at a given time.
func (a *Allowance) Grant(granted time.Time, count int) {
	for range count {
		a.grantExpirations = append(a.grantExpirations, granted.Add(GrantTTL))
	}
}

// SetAllocated sets whether the planner allocates the limit, and how many requests wait for it.
func (a *Allowance) SetAllocated(allocated bool, waiting int) {
	a.allocated, a.waiting = allocated, waiting
}

// Allocated reports whether the planner allocates the limit, according to its last message.
func (a *Allowance) Allocated() bool {
	return a.allocated
}

// Refresh updates the instance's own share. The share starts with a random fraction of the first request, so that the instances, each
// of which starts its own share, do not send their first requests together.
func (a *Allowance) Refresh(now time.Time, fleet Fleet) {
	usesOwnShare := a.HasLimit() && (!a.allocated || !fleet.PlannerReachable)
	if usesOwnShare && !a.usesOwnShare {
		a.ownShare = tokenBucket{tokens: fleet.Random}
	}
	a.usesOwnShare = usesOwnShare
	if usesOwnShare {
		a.ownShare.refill(now, a.ownRate(fleet.Members))
	}
}

// ownRate returns this instance's share of the rate.
func (a *Allowance) ownRate(members int) float64 {
	return a.Rate() / float64(members)
}

// ExpectedRate returns the rate, in requests per second, that this instance can expect for its own waiting requests, and how many waiting
// requests of all instances come first: while the planner allocates the limit, all instances wait for the same limit.
func (a *Allowance) ExpectedRate(members int) (rate float64, ahead int) {
	if a.usesOwnShare {
		return a.ownRate(members), 0
	}
	return a.Rate(), a.waiting
}
