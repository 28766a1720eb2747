// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// slotState tells what is known of a slot.
type slotState int

const (
	slotLoading slotState = iota
	slotResident
	slotUnknown
)

// slot is one adapter's place on an endpoint.
type slot struct {
	adapter fleet.AdapterRef
	state   slotState
	// foreign is true while the endpoint reports work that no ticket explains.
	foreign  bool
	closing  bool
	since    time.Time
	lastUsed time.Time
	// evicting is, while the slot is loading, the adapter that the same order unloads, if any.
	evicting fleet.AdapterRef
}

// endpointState is what the placer knows of one endpoint.
type endpointState struct {
	spec        fleet.Endpoint
	incarnation string
	fence       uint64
	up          bool
	leaving     bool
	drained     bool
	uncertain   bool
	running     int
	customers   map[string]int
	slots       map[fleet.AdapterRef]*slot
	// using counts the tickets of each adapter, whether or not its slot is known yet: a
	// ticket may be declared before the slot is found.
	using   map[fleet.AdapterRef]int
	loading int
	// formerOrders holds orders that were sent to a former life of an endpoint without fences, with the time until which each may
	// still arrive in this life.
	formerOrders map[formerOrder]time.Time
	frozenUntil  time.Time
	// ordersUntil is when the right to order ends, on a leased endpoint; the zero time means that there is none.
	ordersUntil time.Time
	// leased is true where a lease gives the right to order, in place of fences.
	leased bool
	// owned is true once the lease was held: only then does every successor wait for
	// this placer's grants to end, and only then may it grant.
	owned bool
	// fenceLost is true from a refusal for the fence until the endpoint is taken again.
	fenceLost bool
	// lateUnloads holds, for each adapter whose unload was ordered and whose answer was lost, until when that order may still
	// arrive; only for endpoints without fences, which refuse no old order.
	lateUnloads map[fleet.AdapterRef]time.Time
	// seen is when the last list that was taken in began to be read.
	seen time.Time
}

// formerOrder names an order that was sent to a life of an endpoint which has ended since.
type formerOrder struct {
	incarnation string
	adapter     fleet.AdapterRef
}

func newEndpointState(spec fleet.Endpoint) *endpointState {
	return &endpointState{
		spec:         spec,
		customers:    make(map[string]int),
		slots:        make(map[fleet.AdapterRef]*slot),
		using:        make(map[fleet.AdapterRef]int),
		formerOrders: make(map[formerOrder]time.Time),
		lateUnloads:  make(map[fleet.AdapterRef]time.Time),
	}
}

// inUse tells whether unloading the slot could cut off a running request.
func (e *endpointState) inUse(s *slot) bool {
	return e.using[s.adapter] > 0 || s.foreign
}

// admits tells whether a ticket's request may still start: without fences nothing refuses that of a former life.
func (e *endpointState) admits(t fleet.Ticket) bool {
	return !e.spec.ChecksFence || t.Incarnation == e.incarnation
}

// beginLife starts a new life. Where fences are checked, nothing of the former one counts any more; elsewhere its tickets
// go on counting until they come back, and its orders until they have ended or the limit has passed since they were sent.
func (e *endpointState) beginLife(incarnation string, limit time.Duration) {
	former := e.incarnation
	e.incarnation = incarnation
	e.loading = 0
	e.uncertain = false
	if !e.spec.ChecksFence {
		for ref, s := range e.slots {
			if s.state == slotLoading {
				e.formerOrders[formerOrder{incarnation: former, adapter: ref}] = s.since.Add(limit)
			}
		}
		return
	}
	e.running = 0
	clear(e.customers)
	clear(e.using)
}

// awaitsOrders tells whether an order of a former life may still arrive; it drops those that no longer can.
func (e *endpointState) awaitsOrders(now time.Time) bool {
	maps.DeleteFunc(e.formerOrders, func(_ formerOrder, until time.Time) bool { return !until.After(now) })
	return len(e.formerOrders) > 0
}

// unloadPending tells whether an unload of the adapter may still take effect. Until it cannot, neither a list nor the end
// of another load shows that the adapter stays, and so none is ordered.
func (e *endpointState) unloadPending(now time.Time, ref fleet.AdapterRef) bool {
	return e.unloadMayBeLate(now, ref) || e.unloadOrdered(ref)
}

// unloadMayBeLate tells whether an unload of the adapter whose answer was lost may still arrive.
func (e *endpointState) unloadMayBeLate(now time.Time, ref fleet.AdapterRef) bool {
	return e.lateUnloads[ref].After(now)
}

// unloadOrdered tells whether an order that has not been answered unloads the adapter.
func (e *endpointState) unloadOrdered(ref fleet.AdapterRef) bool {
	for _, s := range e.slots {
		if s.state == slotLoading && s.evicting == ref {
			return true
		}
	}
	return false
}

// enter counts a ticket.
func (e *endpointState) enter(t fleet.Ticket, caller string) {
	e.running++
	e.customers[caller]++
	e.using[t.Adapter]++
}

// leave takes a ticket out of the counts.
func (e *endpointState) leave(t fleet.Ticket, caller string) {
	e.running--
	drop(e.customers, caller)
	drop(e.using, t.Adapter)
}

// drop lowers a count and forgets it at zero.
func drop[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// takesWork tells whether new requests may go to the endpoint.
func (e *endpointState) takesWork() bool {
	if e.leased && !e.owned {
		return false
	}
	return e.up && !e.leaving && !e.drained && !e.fenceLost
}

// takesLoads tells whether slots may be filled.
func (e *endpointState) takesLoads(now time.Time) bool {
	if e.leased && !now.Before(e.ordersUntil) {
		return false
	}
	return e.takesWork() && !e.uncertain && e.spec.Kind != fleet.KindPlain
}

// mayUnload tells whether in-use knowledge is complete enough to unload.
func (e *endpointState) mayUnload(now time.Time) bool {
	return !e.uncertain && !now.Before(e.frozenUntil)
}

func (e *endpointState) free() int {
	return e.spec.MaxBatch - e.running
}

// fill gives the used part of the batch, from 0 to 1.
func (e *endpointState) fill() float64 {
	if e.spec.MaxBatch == 0 {
		return 1
	}
	return float64(e.running) / float64(e.spec.MaxBatch)
}

// loadTime gives the expected time of a load at full speed.
func (e *endpointState) loadTime() time.Duration {
	if e.spec.Load <= 0 {
		return defaultLoadTime
	}
	return e.spec.Load
}
