// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// baseline binds each request to an endpoint on arrival, serves each endpoint's
// queue first come first served, and evicts the least recently used adapter.
type baseline struct {
	withoutPlatform
	world     *world
	choose    func(r *request, usable []*baseEndpoint) *baseEndpoint
	endpoints []*baseEndpoint
	byEngine  map[*engine]*baseEndpoint
}

// baseEndpoint is one endpoint's queue and its use of adapters.
type baseEndpoint struct {
	*engine
	queue []*request
	used  map[fleet.AdapterRef]time.Time
}

func newBaseline(w *world, choose func(*request, []*baseEndpoint) *baseEndpoint) *baseline {
	b := &baseline{world: w, choose: choose, byEngine: make(map[*engine]*baseEndpoint)}
	for _, e := range w.order {
		one := &baseEndpoint{engine: e, used: make(map[fleet.AdapterRef]time.Time)}
		b.byEngine[e] = one
		b.endpoints = append(b.endpoints, one)
	}
	return b
}

// load gives the running and queued requests for each place of the batch.
func (e *baseEndpoint) load() float64 {
	return float64(len(e.running)+len(e.queue)) / float64(e.entry.MaxBatch)
}

// leastLoaded takes the least loaded endpoint, among equals one that holds the adapter.
func leastLoaded(r *request, usable []*baseEndpoint) *baseEndpoint {
	best := usable[0]
	for _, e := range usable[1:] {
		if e.load() < best.load() || (e.load() == best.load() && e.holds(r.Adapter) && !best.holds(r.Adapter)) {
			best = e
		}
	}
	return best
}

// byAffinity takes the endpoint that rendezvous hashing gives the adapter.
func byAffinity(r *request, usable []*baseEndpoint) *baseEndpoint {
	names := make([]string, len(usable))
	for i, e := range usable {
		names[i] = e.entry.Name
	}
	return usable[slices.Index(names, ring.Best(r.Adapter.String(), names))]
}

func (b *baseline) usable(r *request) []*baseEndpoint {
	var out []*baseEndpoint
	for _, e := range b.endpoints {
		if e.leavingAt.IsZero() && !b.world.apart(e.entry.Hall, r.Hall) && slices.Contains(e.entry.Bases, r.Base) {
			out = append(out, e)
		}
	}
	return out
}

func (b *baseline) arrive(now time.Time, r *request) {
	usable := b.usable(r)
	if len(usable) == 0 {
		b.world.refuse(now, r)
		return
	}
	e := b.choose(r, usable)
	e.queue = append(e.queue, r)
	b.serve(now, e)
}

// serve starts what can start and loads what is missing, in order of arrival.
func (b *baseline) serve(now time.Time, e *baseEndpoint) {
	kept := e.queue[:0]
	for _, r := range e.queue {
		if r.done() {
			continue
		}
		if _, ok := e.resident[r.Adapter]; ok && len(e.running) < e.entry.MaxBatch {
			e.used[r.Adapter] = now
			b.world.start(now, r, e.engine)
			continue
		}
		kept = append(kept, r)
	}
	e.queue = kept
	for _, r := range e.queue {
		if !e.holds(r.Adapter) && !b.fetch(now, e, r.Adapter) {
			return
		}
	}
}

// fetch loads an adapter into a free slot or the least recently used idle one.
func (b *baseline) fetch(now time.Time, e *baseEndpoint, ref fleet.AdapterRef) bool {
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

// leastRecentlyUsed gives the adapter to evict, or a zero one if all are in use or waited for.
func (e *baseEndpoint) leastRecentlyUsed() fleet.AdapterRef {
	var victim fleet.AdapterRef
	for other := range e.resident {
		awaited := slices.ContainsFunc(e.queue, func(r *request) bool { return r.Adapter == other })
		if e.using[other] > 0 || awaited {
			continue
		}
		earlier := e.used[other].Compare(e.used[victim])
		if victim.IsZero() || earlier < 0 || (earlier == 0 && other.String() < victim.String()) {
			victim = other
		}
	}
	return victim
}

func (b *baseline) ended(now time.Time, r *request, e *engine) {
	b.loaded(now, e, r.Adapter, true)
}

func (b *baseline) loaded(now time.Time, e *engine, ref fleet.AdapterRef, _ bool) {
	one := b.byEngine[e]
	one.used[ref] = now
	b.serve(now, one)
}

func (b *baseline) restarted(now time.Time, e *engine) {
	one := b.byEngine[e]
	clear(one.used)
	b.serve(now, one)
}

// leaving moves what waits on a leaving endpoint to others.
func (b *baseline) leaving(now time.Time, e *engine) {
	one := b.byEngine[e]
	waiting := one.queue
	one.queue = nil
	for _, r := range waiting {
		b.arrive(now, r)
	}
}

// expired takes a request out of the queue that it waits in, if any.
func (b *baseline) expired(_ time.Time, r *request) {
	for _, e := range b.endpoints {
		e.queue = slices.DeleteFunc(e.queue, func(other *request) bool { return other == r })
	}
}
