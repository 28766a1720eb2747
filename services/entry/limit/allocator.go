// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Demand is the demand of an instance for requests to an endpoint with a limit.
type Demand struct {
	Endpoint deployment.EndpointID
	// Waiting is the number of its requests that wait for this limit; 0 if other endpoints could run the requests as well.
	Waiting int
}

// Grant allows an instance to send a number of requests to an endpoint.
type Grant struct {
	Endpoint deployment.EndpointID
	Instance string
	Count    int
}

// idleGrantDelay is how long no instance must have had waiting requests before an allowed request is granted to an instance that
// merely might use it. A longer time leaves more requests to instances with waiting ones; a shorter one detects sooner that a limit
// was lifted.
const idleGrantDelay = 500 * time.Millisecond

// demandTTL is how long reported requests count as waiting: callers that were refused retry. A longer time wastes less of a small
// limit; a shorter one grants less to instances whose callers have left.
const demandTTL = time.Second

// Allocator grants the requests that limits allow to instances.
type Allocator struct {
	endpoints map[deployment.EndpointID]*endpointLimit
}

// endpointLimit is the state of the limit of one endpoint.
type endpointLimit struct {
	tokenBucket tokenBucket
	// unclaimedSince is since when the bucket has had a token for which no instance has waiting requests; zero if it has none.
	unclaimedSince time.Time
	// demands are the demands of instances, by the instance's name.
	demands map[string]*demand
}

// demand is the demand that one instance last reported, less the requests granted since.
type demand struct {
	waiting int
	// waitingAt is when the instance last reported waiting requests.
	waitingAt time.Time
	// grantedAt is when a request was last granted to the instance; zero for never.
	grantedAt time.Time
	// requested is set by each report, and cleared by a grant to an instance without waiting requests.
	requested bool
}

// NewAllocator returns an allocator without limits.
func NewAllocator() *Allocator {
	return &Allocator{endpoints: make(map[deployment.EndpointID]*endpointLimit)}
}

// SetDemand replaces the demand of an instance, except for requests that were waiting a short time ago.
func (a *Allocator) SetDemand(now time.Time, instance string, demands []Demand) {
	for _, entry := range a.endpoints {
		if known := entry.demands[instance]; known != nil {
			known.requested = known.isWaiting(now)
		}
	}
	for _, entry := range demands {
		a.limitOf(entry.Endpoint).demand(instance).update(now, entry.Waiting)
	}
}

// Retain removes the endpoints without a limit, and the demands of instances that are not present.
func (a *Allocator) Retain(limited func(deployment.EndpointID) bool, present func(instance string) bool) {
	maps.DeleteFunc(a.endpoints, func(id deployment.EndpointID, _ *endpointLimit) bool { return !limited(id) })
	for _, entry := range a.endpoints {
		maps.DeleteFunc(entry.demands, func(instance string, _ *demand) bool { return !present(instance) })
	}
}

// Waiting returns the number of requests that wait for an endpoint's limit at all instances.
func (a *Allocator) Waiting(now time.Time, id deployment.EndpointID) int {
	waiting := 0
	if entry := a.endpoints[id]; entry != nil {
		for _, w := range entry.demands {
			if w.isWaiting(now) {
				waiting += max(1, w.waiting)
			}
		}
	}
	return waiting
}

// Allocate grants the requests that a rate allows by now at an endpoint to instances with waiting requests, or, if none has waited
// for some time, to another instance with demand. Among equal instances, the one that has received no grant for the longest time
// comes first.
func (a *Allocator) Allocate(now time.Time, id deployment.EndpointID, rate float64) []Grant {
	entry := a.limitOf(id)
	entry.tokenBucket.refill(now, rate)
	counts := entry.grantWaiting(now)
	if len(counts) == 0 && entry.tokenBucket.hasToken() && entry.isUnclaimed(now) {
		counts = entry.grantIdle(now)
	}
	if len(counts) > 0 {
		entry.unclaimedSince = time.Time{}
	}
	grants := make([]Grant, 0, len(counts))
	for instance, count := range counts {
		grants = append(grants, Grant{Endpoint: id, Instance: instance, Count: count})
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Instance, b.Instance) })
	return grants
}

func (a *Allocator) limitOf(id deployment.EndpointID) *endpointLimit {
	entry, ok := a.endpoints[id]
	if !ok {
		entry = &endpointLimit{demands: make(map[string]*demand)}
		a.endpoints[id] = entry
	}
	return entry
}

func (l *endpointLimit) demand(instance string) *demand {
	w, ok := l.demands[instance]
	if !ok {
		w = &demand{}
		l.demands[instance] = w
	}
	return w
}

// isUnclaimed reports whether no instance has had waiting requests for some time for the token that the bucket has.
func (l *endpointLimit) isUnclaimed(now time.Time) bool {
	if l.unclaimedSince.IsZero() {
		l.unclaimedSince = now
	}
	return now.Sub(l.unclaimedSince) >= idleGrantDelay
}

// grantWaiting grants requests in turn to the instances with waiting ones, and returns the number of grants per instance.
func (l *endpointLimit) grantWaiting(now time.Time) map[string]int {
	counts := make(map[string]int)
	if !l.tokenBucket.hasToken() {
		return counts
	}
	waiting := l.inOrder(func(w *demand) bool { return w.isWaiting(now) })
	for l.tokenBucket.hasToken() && len(waiting) > 0 {
		for _, candidate := range waiting {
			if !l.tokenBucket.hasToken() {
				break
			}
			l.grant(now, candidate.demand)
			counts[candidate.instance]++
		}
		waiting = slices.DeleteFunc(waiting, func(candidate instanceDemand) bool { return !candidate.demand.isWaiting(now) })
	}
	return counts
}

// grantIdle grants one request to an instance that might use it.
func (l *endpointLimit) grantIdle(now time.Time) map[string]int {
	candidates := l.inOrder(func(w *demand) bool { return w.requested })
	if len(candidates) == 0 {
		return nil
	}
	l.grant(now, candidates[0].demand)
	return map[string]int{candidates[0].instance: 1}
}

// instanceDemand is the demand of one instance.
type instanceDemand struct {
	instance string
	demand   *demand
}

// inOrder returns the selected demands, starting with the instance that has received no grant for the longest time.
func (l *endpointLimit) inOrder(selects func(*demand) bool) []instanceDemand {
	var ordered []instanceDemand
	for instance, w := range l.demands {
		if selects(w) {
			ordered = append(ordered, instanceDemand{instance: instance, demand: w})
		}
	}
	slices.SortFunc(ordered, func(a, b instanceDemand) int {
		return cmp.Or(a.demand.grantedAt.Compare(b.demand.grantedAt), cmp.Compare(a.instance, b.instance))
	})
	return ordered
}

func (l *endpointLimit) grant(now time.Time, w *demand) {
	l.tokenBucket.takeToken()
	w.grant(now)
}

// update records a report with the number of waiting requests.
func (w *demand) update(now time.Time, waiting int) {
	w.requested = true
	if waiting > 0 {
		w.waiting, w.waitingAt = waiting, now
	}
}

// isWaiting reports whether requests are waiting: those that were reported and, for some time after they were granted, one more at a
// time, because callers that were refused retry.
func (w *demand) isWaiting(now time.Time) bool {
	if now.Sub(w.waitingAt) >= demandTTL {
		return false
	}
	return w.waiting > 0 || w.grantedAt.Before(now)
}

// grant records a granted request. An instance without waiting requests gets at most one grant per report.
func (w *demand) grant(now time.Time) {
	w.requested = w.isWaiting(now)
	w.grantedAt = now
	w.waiting = max(0, w.waiting-1)
}
