// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/modules/ring"
)

// baseline binds each request to an endpoint on arrival, serves each endpoint's
// queue first come first served, and evicts the least recently used adapter.
type baseline struct {
	world    *world
	actions  Actions
	choose   func(r fleet.Request, usable []*baseEndpoint) *baseEndpoint
	byName   map[string]*baseEndpoint
	order    []*baseEndpoint
	cut      map[string]bool
	requests map[string]fleet.Request
	boundTo  map[string]*baseEndpoint
}

// baseEndpoint is one endpoint's queue and its use of adapters.
type baseEndpoint struct {
	engine  *engine
	queue   []fleet.Request
	used    map[fleet.AdapterRef]time.Time
	leaving bool
}

func newLRU(w *world) Policy {
	b := newBaseline(w)
	b.choose = leastLoaded
	return b.policy("lru")
}

func newAffinity(w *world) Policy {
	b := newBaseline(w)
	b.choose = byAffinity
	return b.policy("affinity")
}

func newBaseline(w *world) *baseline {
	b := &baseline{
		world: w, actions: w.actions(), byName: make(map[string]*baseEndpoint), cut: make(map[string]bool),
		requests: make(map[string]fleet.Request), boundTo: make(map[string]*baseEndpoint),
	}
	for _, e := range w.order {
		be := &baseEndpoint{engine: e, used: make(map[fleet.AdapterRef]time.Time)}
		b.byName[e.entry.Name] = be
		b.order = append(b.order, be)
	}
	return b
}

func (b *baseline) policy(name string) Policy {
	p := noPolicy(name)
	p.Arrive = b.arrive
	p.Ended = b.ended
	p.Loaded = b.loaded
	p.Restarted = b.restarted
	p.Leaving = b.leave
	p.Cut = func(_ time.Time, hall string, cut bool) { b.cut[hall] = cut }
	p.Expired = func(_ time.Time, id string) { b.drop(id) }
	return p
}

// load gives the running and queued requests for each place of the batch.
func (e *baseEndpoint) load() float64 {
	return float64(len(e.engine.running)+len(e.queue)) / float64(e.engine.entry.MaxBatch)
}

// leastLoaded takes the least loaded endpoint, among equals one that holds the adapter.
func leastLoaded(r fleet.Request, usable []*baseEndpoint) *baseEndpoint {
	best := usable[0]
	for _, e := range usable[1:] {
		if e.load() < best.load() || (e.load() == best.load() && e.holds(r.Adapter) && !best.holds(r.Adapter)) {
			best = e
		}
	}
	return best
}

func (e *baseEndpoint) holds(ref fleet.AdapterRef) bool {
	_, resident := e.engine.resident[ref]
	return resident || e.engine.loading[ref] != nil
}

// byAffinity takes the endpoint that rendezvous hashing gives the adapter.
func byAffinity(r fleet.Request, usable []*baseEndpoint) *baseEndpoint {
	best, bestScore := usable[0], uint64(0)
	for _, e := range usable {
		if s := ring.Score(r.Adapter.String(), e.engine.entry.Name); s > bestScore {
			best, bestScore = e, s
		}
	}
	return best
}

func (b *baseline) usable(r fleet.Request) []*baseEndpoint {
	var out []*baseEndpoint
	for _, e := range b.order {
		hall := e.engine.entry.Hall
		apart := hall != r.Hall && (b.cut[hall] || b.cut[r.Hall])
		if e.leaving || apart || !e.engine.entry.spec().Serves(r.Base) {
			continue
		}
		out = append(out, e)
	}
	return out
}

func (b *baseline) arrive(now time.Time, r fleet.Request) {
	usable := b.usable(r)
	if len(usable) == 0 {
		b.actions.Refuse(now, r.ID, fleet.ReasonNoEndpoint)
		return
	}
	e := b.choose(r, usable)
	b.requests[r.ID] = r
	b.boundTo[r.ID] = e
	e.queue = append(e.queue, r)
	b.serve(now, e)
}

// serve starts what can start and loads what is missing, in order of arrival.
func (b *baseline) serve(now time.Time, e *baseEndpoint) {
	kept := e.queue[:0]
	for _, r := range e.queue {
		if b.world.requests[r.ID].done {
			continue
		}
		if _, ok := e.engine.resident[r.Adapter]; ok && len(e.engine.running) < e.engine.entry.MaxBatch {
			e.used[r.Adapter] = now
			b.actions.Start(now, r.ID, e.engine.entry.Name)
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
	if len(e.engine.resident)+len(e.engine.loading) < e.engine.entry.Slots {
		b.actions.Load(now, e.engine.entry.Name, fleet.AdapterRef{}, ref)
		return true
	}
	victim, found := fleet.AdapterRef{}, false
	for other := range e.engine.resident {
		if e.engine.using[other] > 0 || b.awaited(e, other) {
			continue
		}
		if !found || e.used[other].Before(e.used[victim]) || (e.used[other].Equal(e.used[victim]) && other.String() < victim.String()) {
			victim, found = other, true
		}
	}
	if !found {
		return false
	}
	delete(e.used, victim)
	b.actions.Load(now, e.engine.entry.Name, victim, ref)
	return true
}

func (b *baseline) awaited(e *baseEndpoint, ref fleet.AdapterRef) bool {
	for _, r := range e.queue {
		if r.Adapter == ref {
			return true
		}
	}
	return false
}

func (b *baseline) ended(now time.Time, id, endpoint string, ref fleet.AdapterRef) {
	e := b.byName[endpoint]
	e.used[ref] = now
	b.drop(id)
	b.serve(now, e)
}

func (b *baseline) loaded(now time.Time, endpoint string, _ int, ref fleet.AdapterRef, _ bool) {
	e := b.byName[endpoint]
	e.used[ref] = now
	b.serve(now, e)
}

func (b *baseline) restarted(now time.Time, endpoint string, _ int) {
	e := b.byName[endpoint]
	clear(e.used)
	b.serve(now, e)
}

// leave moves what waits on a leaving endpoint to others.
func (b *baseline) leave(now time.Time, endpoint string) {
	e := b.byName[endpoint]
	e.leaving = true
	waiting := e.queue
	e.queue = nil
	for _, r := range waiting {
		b.arrive(now, r)
	}
}

func (b *baseline) drop(id string) {
	e := b.boundTo[id]
	if e == nil {
		return
	}
	delete(b.boundTo, id)
	delete(b.requests, id)
	for i, r := range e.queue {
		if r.ID == id {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
}
