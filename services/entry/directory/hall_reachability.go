// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

const (
	// hallUnreachableAfter is how many exchanges in a row with a hall's endpoints must break, with no answer in between, until the hall
	// counts as unreachable. A lower value detects a network partition sooner, and mistakes dead endpoints for one.
	hallUnreachableAfter = 3
	// initialHallAvoidance and maxHallAvoidance bound how long an unreachable hall then gets no requests; after that, requests try it
	// again. Higher values lose fewer requests to a partition that lasts, and leave a hall unused that is reachable again.
	initialHallAvoidance = 600 * time.Millisecond
	maxHallAvoidance     = 2400 * time.Millisecond
	// hallAvoidanceGrowth is the factor from one avoidance period to the next while the hall stays unreachable.
	hallAvoidanceGrowth = 2
)

// hallReachability tracks whether this instance can reach the endpoints of one hall. A network partition between halls breaks the exchanges
// with all endpoints there; without it, each endpoint would have to be ejected on its own.
type hallReachability struct {
	// broken is the number of exchanges of this instance with the hall's endpoints that broke in a row.
	broken int
	// avoidedUntil is the end of the current avoidance period, avoidance its length.
	avoidedUntil time.Time
	avoidance    time.Duration
}

// unreachable reports whether the hall currently counts as unreachable.
func (r *hallReachability) unreachable(now time.Time) bool {
	return now.Before(r.avoidedUntil)
}

// record records the outcome of an exchange with any endpoint of the hall.
func (r *hallReachability) record(now time.Time, outcome Outcome) {
	switch outcome {
	case Neutral, Ended:
		// When an endpoint's process ends, all its exchanges end at once, which shows nothing about the network to its hall.
		return
	case Succeeded, Errored, Refused:
		*r = hallReachability{}
		return
	case Broken, Unreachable:
		r.broken++
	}
	if r.broken < hallUnreachableAfter || r.unreachable(now) {
		return
	}
	r.avoidance = min(max(hallAvoidanceGrowth*r.avoidance, initialHallAvoidance), maxHallAvoidance)
	r.avoidedUntil = now.Add(r.avoidance)
}
