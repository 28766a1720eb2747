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

// Want is that an instance wants to send requests to an endpoint with a limit.
type Want struct {
	Endpoint deployment.EndpointID
	// Waiting is how many of its requests wait for just that; 0 where others could run them as well.
	Waiting int
}

// Grant is that an instance may send a number of requests to an endpoint.
type Grant struct {
	Endpoint deployment.EndpointID
	Instance string
	Count    int
}

// idlePause is for how long nobody must have waited for a request that a limit allows until it goes to an instance that only might use it.
// Longer leaves more to those that wait, shorter hears sooner that a limit is over.
const idlePause = 500 * time.Millisecond

// wantLife is for how long requests count as waiting that an instance told of: those that were refused come back. Longer loses less of a
// small limit, shorter grants less to instances whose callers have gone.
const wantLife = time.Second

// Allocator allocates the requests that limits allow among instances.
type Allocator struct {
	endpoints map[deployment.EndpointID]*endpointLimit
}

// endpointLimit is one endpoint's limit.
type endpointLimit struct {
	bucket bucket
	// spareAt is since when the bucket has held a request for which nobody waits; zero if it holds none.
	spareAt time.Time
	// wants are the instances that want to send, by name.
	wants map[string]*want
}

// want is what one instance wants by its last report, less what it was granted since.
type want struct {
	waiting int
	// waitedAt is when the instance last told of waiting requests.
	waitedAt time.Time
	// grantedAt is when it was last granted a request; zero for never.
	grantedAt time.Time
	// asked is set by each report, and cleared by a grant to one with nothing waiting.
	asked bool
}

// NewAllocator makes a allocator without limits.
func NewAllocator() *Allocator {
	return &Allocator{endpoints: make(map[deployment.EndpointID]*endpointLimit)}
}

// Ask takes in what an instance wants; it replaces what it wanted before, but for what waited a short while ago.
func (a *Allocator) Ask(now time.Time, instance string, wants []Want) {
	for _, one := range a.endpoints {
		if known := one.wants[instance]; known != nil {
			known.asked = known.waits(now)
		}
	}
	for _, one := range wants {
		a.limitOf(one.Endpoint).want(instance).ask(now, one.Waiting)
	}
}

// Keep drops the endpoints that have no limit any more, and what instances want that are lost.
func (a *Allocator) Keep(limited func(deployment.EndpointID) bool, present func(instance string) bool) {
	maps.DeleteFunc(a.endpoints, func(id deployment.EndpointID, _ *endpointLimit) bool { return !limited(id) })
	for _, one := range a.endpoints {
		maps.DeleteFunc(one.wants, func(instance string, _ *want) bool { return !present(instance) })
	}
}

// Waiting is how many requests wait for an endpoint's limit at all instances.
func (a *Allocator) Waiting(now time.Time, id deployment.EndpointID) int {
	waiting := 0
	if one := a.endpoints[id]; one != nil {
		for _, w := range one.wants {
			if w.waits(now) {
				waiting += max(1, w.waiting)
			}
		}
	}
	return waiting
}

// Allocate grants what a rate allows by now at an endpoint to instances with waiting requests, and what is left over for a while to another;
// among equals to who got nothing for longest.
func (a *Allocator) Allocate(now time.Time, id deployment.EndpointID, rate float64) []Grant {
	one := a.limitOf(id)
	one.bucket.fill(now, rate)
	counts := one.grantWaiting(now)
	if len(counts) == 0 && one.bucket.holds() && one.isSpare(now) {
		counts = one.grantIdle(now)
	}
	if len(counts) > 0 {
		one.spareAt = time.Time{}
	}
	grants := make([]Grant, 0, len(counts))
	for instance, count := range counts {
		grants = append(grants, Grant{Endpoint: id, Instance: instance, Count: count})
	}
	slices.SortFunc(grants, func(a, b Grant) int { return cmp.Compare(a.Instance, b.Instance) })
	return grants
}

func (a *Allocator) limitOf(id deployment.EndpointID) *endpointLimit {
	one, ok := a.endpoints[id]
	if !ok {
		one = &endpointLimit{wants: make(map[string]*want)}
		a.endpoints[id] = one
	}
	return one
}

func (l *endpointLimit) want(instance string) *want {
	w, ok := l.wants[instance]
	if !ok {
		w = &want{}
		l.wants[instance] = w
	}
	return w
}

// isSpare reports whether nobody has waited for a while for the request that the bucket holds.
func (l *endpointLimit) isSpare(now time.Time) bool {
	if l.spareAt.IsZero() {
		l.spareAt = now
	}
	return now.Sub(l.spareAt) >= idlePause
}

// grantWaiting grants requests in turn to the instances with waiting ones, and gives how many to each.
func (l *endpointLimit) grantWaiting(now time.Time) map[string]int {
	counts := make(map[string]int)
	if !l.bucket.holds() {
		return counts
	}
	waiting := l.inTurn(func(w *want) bool { return w.waits(now) })
	for l.bucket.holds() && len(waiting) > 0 {
		for _, one := range waiting {
			if !l.bucket.holds() {
				break
			}
			l.grant(now, one.want)
			counts[one.instance]++
		}
		waiting = slices.DeleteFunc(waiting, func(one turn) bool { return !one.want.waits(now) })
	}
	return counts
}

// grantIdle grants one request to an instance that might use it.
func (l *endpointLimit) grantIdle(now time.Time) map[string]int {
	idle := l.inTurn(func(w *want) bool { return w.asked })
	if len(idle) == 0 {
		return nil
	}
	l.grant(now, idle[0].want)
	return map[string]int{idle[0].instance: 1}
}

// turn is one instance's place among those that want to send.
type turn struct {
	instance string
	want     *want
}

// inTurn gives the wants that a function picks, first of who got nothing for longest.
func (l *endpointLimit) inTurn(picks func(*want) bool) []turn {
	var turns []turn
	for instance, w := range l.wants {
		if picks(w) {
			turns = append(turns, turn{instance: instance, want: w})
		}
	}
	slices.SortFunc(turns, func(a, b turn) int {
		return cmp.Or(a.want.grantedAt.Compare(b.want.grantedAt), cmp.Compare(a.instance, b.instance))
	})
	return turns
}

func (l *endpointLimit) grant(now time.Time, w *want) {
	l.bucket.take()
	w.grant(now)
}

// ask takes in that requests may be sent, and how many wait.
func (w *want) ask(now time.Time, waiting int) {
	w.asked = true
	if waiting > 0 {
		w.waiting, w.waitedAt = waiting, now
	}
}

// waits reports whether requests wait: those that were told, and, for a while after they were granted, one more at a time, since callers
// that were refused come back.
func (w *want) waits(now time.Time) bool {
	if now.Sub(w.waitedAt) >= wantLife {
		return false
	}
	return w.waiting > 0 || w.grantedAt.Before(now)
}

// grant notes a request that was granted. Where nothing waits, one is granted for each report.
func (w *want) grant(now time.Time) {
	w.asked = w.waits(now)
	w.grantedAt = now
	w.waiting = max(0, w.waiting-1)
}
