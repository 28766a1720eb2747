// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import (
	"slices"
	"time"
)

// GrantLife is for how long after the planner granted a request it may be sent. Longer bears slower links, shorter lets fewer be sent at once
// that were saved up.
const GrantLife = time.Second

// Allowance is what one instance may send to one endpoint. The zero value allows everything.
type Allowance struct {
	Named

	// allocated says that the planner allocates the limit, by its last word.
	allocated bool
	// grants are the ends of requests that the planner granted, the earliest first.
	grants []time.Time
	// share holds the own part of the limit while no planner allocates it; sharing says that it is in use.
	share   bucket
	sharing bool
	// waiting is how many requests wait for the endpoint's limit at all instances, by the planner's last word.
	waiting int
}

// Fleet is what an instance knows of the others as it looks at its allowances.
type Fleet struct {
	// PlannerHeard says that grants of the planner would come here.
	PlannerHeard bool
	// Members is the number of instances, at least 1.
	Members int
	// Random is a number from 0 up to 1.
	Random float64
}

// Admits reports whether a request may be sent now.
func (a *Allowance) Admits(now time.Time) bool {
	return !a.Binds() || a.granted(now) || (a.sharing && a.share.holds())
}

// Take counts a request that is sent now.
func (a *Allowance) Take(now time.Time) {
	switch {
	case !a.Binds():
	case a.granted(now):
		a.grants = a.grants[1:]
	default:
		a.share.take()
	}
}

// granted reports whether a request that the planner granted may be sent.
func (a *Allowance) granted(now time.Time) bool {
	a.grants = slices.DeleteFunc(a.grants, func(until time.Time) bool { return !now.Before(until) })
	return len(a.grants) > 0
}

// Wants reports whether this instance has nothing that it may send.
func (a *Allowance) Wants(now time.Time) bool {
	return a.Binds() && !a.granted(now)
}

// Grant takes in requests that the planner granted to this instance at a time.
func (a *Allowance) Grant(granted time.Time, count int) {
	for range count {
		a.grants = append(a.grants, granted.Add(GrantLife))
	}
}

// SetAllocated takes in whether the planner allocates the limit, and how many requests wait for it.
func (a *Allowance) SetAllocated(allocated bool, waiting int) {
	a.allocated, a.waiting = allocated, waiting
}

// Allocated reports whether the planner allocates the limit, by its last word.
func (a *Allowance) Allocated() bool {
	return a.allocated
}

// Review brings the own share up to date. It begins at a random part of the first request, so that the instances, each of which begins
// its own, do not send their first requests together.
func (a *Allowance) Review(now time.Time, fleet Fleet) {
	sharing := a.Binds() && (!a.allocated || !fleet.PlannerHeard)
	if sharing && !a.sharing {
		a.share = bucket{level: fleet.Random}
	}
	a.sharing = sharing
	if sharing {
		a.share.fill(now, a.ownRate(fleet.Members))
	}
}

// ownRate is this instance's part of the rate.
func (a *Allowance) ownRate(members int) float64 {
	return a.Rate() / float64(members)
}

// Expected gives how many requests a second may be expected for this instance's own waiting requests, and how many requests that others
// wait with come before: all instances wait for one limit where the planner allocates it.
func (a *Allowance) Expected(members int) (rate float64, ahead int) {
	if a.sharing {
		return a.ownRate(members), 0
	}
	return a.Rate(), a.waiting
}
