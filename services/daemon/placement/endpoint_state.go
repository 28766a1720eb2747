// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// slotState is the last known state of a slot.
type slotState int

const (
	slotLoading slotState = iota
	slotResident
	slotUnknown
)

// slot is an adapter slot of an endpoint.
type slot struct {
	adapter fleet.AdapterRef
	state   slotState
	// foreign is true while the endpoint reports running requests for which the placer has no ticket.
	foreign bool
	// closing is true while the slot gets no new requests so that it can be evicted.
	closing  bool
	since    time.Time
	lastUsed time.Time
	// evicting is the adapter that the pending load order unloads, or the zero value.
	evicting fleet.AdapterRef
}

// endpointState is the placer's state of one endpoint.
type endpointState struct {
	spec        fleet.Endpoint
	incarnation string
	fence       uint64
	up          bool
	leaving     bool
	drained     bool
	// uncertain is true while the content of the slots must be confirmed by an inspection; until
	// then no load is ordered.
	uncertain         bool
	running           int
	ticketsByCustomer map[string]int
	slots             map[fleet.AdapterRef]*slot
	// ticketsByAdapter counts the tickets of each adapter. It is kept apart from the slots because
	// a ticket may be restored before an inspection reports the slot.
	ticketsByAdapter map[fleet.AdapterRef]int
	pendingLoads     int
	// previousOrders holds the orders that were sent to an earlier incarnation of an endpoint without fences, with the time
	// until which each may still reach the current incarnation.
	previousOrders map[previousOrder]time.Time
	frozenUntil    time.Time
	// orderDeadline is when the lease that allows load orders ends; the zero time means that no lease is held. It applies only if
	// usesLease is set.
	orderDeadline time.Time
	// usesLease is true if load orders are protected by a lease instead of by fences.
	usesLease bool
	// leaseWasHeld is true once the lease was held. Only from then on does every later placer
	// wait for the grants of this one to end, so only from then on may this placer grant.
	leaseWasHeld bool
	// fenceLost is true from a refusal because of the fence until the endpoint is taken over again.
	fenceLost bool
	// unansweredUnloads holds the adapters whose unload was ordered but not answered, with the time until which the order may
	// still arrive. It is used only for endpoints without fences, which do not refuse old orders.
	unansweredUnloads map[fleet.AdapterRef]time.Time
	// inspectedAt is when the last applied inspection began.
	inspectedAt time.Time
}

// previousOrder identifies an order that was sent to an earlier incarnation of an endpoint.
type previousOrder struct {
	incarnation string
	adapter     fleet.AdapterRef
}

func newEndpointState(spec fleet.Endpoint) *endpointState {
	return &endpointState{
		spec:              spec,
		ticketsByCustomer: make(map[string]int),
		slots:             make(map[fleet.AdapterRef]*slot),
		ticketsByAdapter:  make(map[fleet.AdapterRef]int),
		previousOrders:    make(map[previousOrder]time.Time),
		unansweredUnloads: make(map[fleet.AdapterRef]time.Time),
	}
}

// inUse reports whether unloading the slot could abort a running request.
func (e *endpointState) inUse(s *slot) bool {
	return e.ticketsByAdapter[s.adapter] > 0 || s.foreign
}

// ticketMayRun reports whether the request of a ticket may run on the endpoint. An endpoint without fences does not refuse
// tickets of an earlier incarnation.
func (e *endpointState) ticketMayRun(t fleet.Ticket) bool {
	return !e.spec.ChecksFence || t.Incarnation == e.incarnation
}

// setIncarnation records a restart of the endpoint. An endpoint that checks fences refuses all tickets and orders of the
// previous incarnation, so their state is cleared. On other endpoints, previous tickets count until they are returned, and
// previous orders until they end or until limit has passed since they were sent.
func (e *endpointState) setIncarnation(incarnation string, limit time.Duration) {
	previous := e.incarnation
	e.incarnation = incarnation
	e.pendingLoads = 0
	e.uncertain = false
	if !e.spec.ChecksFence {
		for ref, s := range e.slots {
			if s.state == slotLoading {
				e.previousOrders[previousOrder{incarnation: previous, adapter: ref}] = s.since.Add(limit)
			}
		}
		return
	}
	e.running = 0
	clear(e.ticketsByCustomer)
	clear(e.ticketsByAdapter)
}

// previousOrderMayArrive reports whether an order for an earlier incarnation may still arrive. It drops the orders that no
// longer can.
func (e *endpointState) previousOrderMayArrive(now time.Time) bool {
	maps.DeleteFunc(e.previousOrders, func(_ previousOrder, until time.Time) bool { return !until.After(now) })
	return len(e.previousOrders) > 0
}

// unloadPending reports whether an unload of the adapter may still take effect. Until then, neither an inspection nor the
// result of another load proves that the adapter stays loaded, so no load of it is ordered.
func (e *endpointState) unloadPending(now time.Time, ref fleet.AdapterRef) bool {
	return e.unansweredUnloadMayArrive(now, ref) || e.unloadOrdered(ref)
}

// unansweredUnloadMayArrive reports whether an unanswered order to unload the adapter may still arrive.
func (e *endpointState) unansweredUnloadMayArrive(now time.Time, ref fleet.AdapterRef) bool {
	return e.unansweredUnloads[ref].After(now)
}

// unloadOrdered reports whether a pending load order unloads the adapter.
func (e *endpointState) unloadOrdered(ref fleet.AdapterRef) bool {
	for _, s := range e.slots {
		if s.state == slotLoading && s.evicting == ref {
			return true
		}
	}
	return false
}

// addTicket adds a ticket to the counts.
func (e *endpointState) addTicket(t fleet.Ticket, caller string) {
	e.running++
	e.ticketsByCustomer[caller]++
	e.ticketsByAdapter[t.Adapter]++
}

// removeTicket removes a ticket from the counts.
func (e *endpointState) removeTicket(t fleet.Ticket, caller string) {
	e.running--
	decrement(e.ticketsByCustomer, caller)
	decrement(e.ticketsByAdapter, t.Adapter)
}

// decrement lowers a count and deletes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// acceptsRequests reports whether new requests may be sent to the endpoint.
func (e *endpointState) acceptsRequests() bool {
	if e.usesLease && !e.leaseWasHeld {
		return false
	}
	return e.up && !e.leaving && !e.drained && !e.fenceLost
}

// acceptsLoads reports whether adapters may be loaded on the endpoint.
func (e *endpointState) acceptsLoads(now time.Time) bool {
	if e.usesLease && !now.Before(e.orderDeadline) {
		return false
	}
	return e.acceptsRequests() && !e.uncertain && e.spec.Kind != fleet.KindPlain
}

// mayUnload reports whether all running requests are known, so that unused adapters may be unloaded.
func (e *endpointState) mayUnload(now time.Time) bool {
	return !e.uncertain && !now.Before(e.frozenUntil)
}

func (e *endpointState) freePlaces() int {
	return e.spec.MaxBatch - e.running
}

// batchFill returns the used share of the batch, from 0 to 1.
func (e *endpointState) batchFill() float64 {
	if e.spec.MaxBatch == 0 {
		return 1
	}
	return float64(e.running) / float64(e.spec.MaxBatch)
}

// expectedLoadTime returns the expected duration of a load at full speed.
func (e *endpointState) expectedLoadTime() time.Duration {
	if e.spec.Load <= 0 {
		return defaultLoadTime
	}
	return e.spec.Load
}
