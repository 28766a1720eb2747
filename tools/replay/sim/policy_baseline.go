// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// baseline assigns each request to an endpoint on arrival, serves the queue of each endpoint in order of arrival, and
// evicts the least recently used adapter.
type baseline struct {
	ignorePlatformEvents
	world     *world
	choose    func(r *request, usable []*baselineEndpoint) *baselineEndpoint
	endpoints []*baselineEndpoint
	byEngine  map[*engine]*baselineEndpoint
}

// baselineEndpoint is an endpoint with its queue and the last use of each adapter.
type baselineEndpoint struct {
	*engine
	queue []*request
	used  map[fleet.AdapterRef]time.Time
}

func newBaseline(w *world, choose func(*request, []*baselineEndpoint) *baselineEndpoint) *baseline {
	b := &baseline{world: w, choose: choose, byEngine: make(map[*engine]*baselineEndpoint)}
	for _, e := range w.engineList {
		endpoint := &baselineEndpoint{engine: e, used: make(map[fleet.AdapterRef]time.Time)}
		b.byEngine[e] = endpoint
		b.endpoints = append(b.endpoints, endpoint)
	}
	return b
}

// loadFactor returns the number of running and queued requests per place of the batch.
func (e *baselineEndpoint) loadFactor() float64 {
	return float64(len(e.running)+len(e.queue)) / float64(e.entry.MaxBatch)
}

// chooseLeastLoaded returns the endpoint with the lowest load factor; of equally loaded ones it prefers an endpoint that
// holds the adapter.
func chooseLeastLoaded(r *request, usable []*baselineEndpoint) *baselineEndpoint {
	best := usable[0]
	for _, e := range usable[1:] {
		if e.loadFactor() < best.loadFactor() || (e.loadFactor() == best.loadFactor() && e.holds(r.Adapter) && !best.holds(r.Adapter)) {
			best = e
		}
	}
	return best
}

// chooseByAffinity returns the endpoint that rendezvous hashing assigns to the adapter.
func chooseByAffinity(r *request, usable []*baselineEndpoint) *baselineEndpoint {
	names := make([]string, len(usable))
	for i, e := range usable {
		names[i] = e.entry.Name
	}
	return usable[slices.Index(names, ring.Best(r.Adapter.String(), names))]
}

func (b *baseline) usable(r *request) []*baselineEndpoint {
	var out []*baselineEndpoint
	for _, e := range b.endpoints {
		if e.leavingAt.IsZero() && !b.world.isCutBetween(e.entry.Hall, r.Hall) && slices.Contains(e.entry.Bases, r.Base) {
			out = append(out, e)
		}
	}
	return out
}

func (b *baseline) requestArrived(now time.Time, r *request) {
	usable := b.usable(r)
	if len(usable) == 0 {
		b.world.refuseRequest(now, r)
		return
	}
	e := b.choose(r, usable)
	e.queue = append(e.queue, r)
	b.serveQueue(now, e)
}

// serveQueue starts the queued requests that can run and loads missing adapters, in order of arrival.
func (b *baseline) serveQueue(now time.Time, e *baselineEndpoint) {
	kept := e.queue[:0]
	for _, r := range e.queue {
		if r.finished() {
			continue
		}
		if _, ok := e.resident[r.Adapter]; ok && len(e.running) < e.entry.MaxBatch {
			e.used[r.Adapter] = now
			b.world.startAttempt(now, r, e.engine)
			continue
		}
		kept = append(kept, r)
	}
	e.queue = kept
	for _, r := range e.queue {
		if !e.holds(r.Adapter) && !b.loadAdapter(now, e, r.Adapter) {
			return
		}
	}
}

// loadAdapter loads an adapter into a free slot or in place of the least recently used idle adapter. It reports whether
// a slot was available.
func (b *baseline) loadAdapter(now time.Time, e *baselineEndpoint, ref fleet.AdapterRef) bool {
	var victim fleet.AdapterRef
	if len(e.resident)+len(e.loading) >= e.entry.Slots {
		if victim = e.leastRecentlyUsed(); victim.IsZero() {
			return false
		}
		delete(e.used, victim)
	}
	b.world.load(now, e.engine, victim, ref)
	return true
}

// leastRecentlyUsed returns the adapter to evict, or a zero reference if requests use or wait for every adapter.
func (e *baselineEndpoint) leastRecentlyUsed() fleet.AdapterRef {
	var victim fleet.AdapterRef
	for other := range e.resident {
		awaited := slices.ContainsFunc(e.queue, func(r *request) bool { return r.Adapter == other })
		if e.runningByAdapter[other] > 0 || awaited {
			continue
		}
		earlier := e.used[other].Compare(e.used[victim])
		if victim.IsZero() || earlier < 0 || (earlier == 0 && other.String() < victim.String()) {
			victim = other
		}
	}
	return victim
}

func (b *baseline) requestEnded(now time.Time, r *request, e *engine) {
	b.loadEnded(now, e, r.Adapter, true)
}

func (b *baseline) loadEnded(now time.Time, e *engine, ref fleet.AdapterRef, _ bool) {
	endpoint := b.byEngine[e]
	endpoint.used[ref] = now
	b.serveQueue(now, endpoint)
}

func (b *baseline) endpointRestarted(now time.Time, e *engine) {
	endpoint := b.byEngine[e]
	clear(endpoint.used)
	b.serveQueue(now, endpoint)
}

// endpointLeaving assigns the requests that wait at a leaving endpoint to other endpoints.
func (b *baseline) endpointLeaving(now time.Time, e *engine) {
	endpoint := b.byEngine[e]
	waiting := endpoint.queue
	endpoint.queue = nil
	for _, r := range waiting {
		b.requestArrived(now, r)
	}
}

// expired removes a request from the queue in which it waits, if any.
func (b *baseline) expired(_ time.Time, r *request) {
	for _, e := range b.endpoints {
		e.queue = slices.DeleteFunc(e.queue, func(other *request) bool { return other == r })
	}
}
