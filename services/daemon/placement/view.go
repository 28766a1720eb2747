// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Summary is the state of a pool that other instances need for routing requests to it.
type Summary struct {
	Pool     string
	Hall     string
	Bases    []string
	Resident []ResidentCopy
	Loading  []fleet.AdapterRef
	// Free is the number of free batch places on endpoints that accept requests.
	Free    int
	Places  int
	Slots   int
	Waiting int
	Tokens  int
}

// ResidentCopy is a loaded adapter with the number of free places on the endpoints that hold it.
type ResidentCopy struct {
	Adapter fleet.AdapterRef
	Free    int
}

// Summary returns the state of the pool for routing.
func (p *Placer) Summary() Summary {
	s := Summary{Pool: p.pool, Waiting: p.queue.Len(), Tokens: p.queue.Tokens()}
	for _, e := range p.endpoints {
		if !e.acceptsRequests() {
			continue
		}
		s.Hall = e.spec.Hall
		s.Free += max(0, e.freePlaces())
		s.Places += e.spec.MaxBatch
		s.Slots += e.spec.Slots
		for _, base := range e.spec.Bases {
			if !slices.Contains(s.Bases, base) {
				s.Bases = append(s.Bases, base)
			}
		}
	}
	s.Resident, s.Loading = p.copiesSummary()
	return s
}

func (p *Placer) copiesSummary() ([]ResidentCopy, []fleet.AdapterRef) {
	var resident []ResidentCopy
	var loading []fleet.AdapterRef
	for ref, endpoints := range p.copies {
		freePlaces, ready := 0, false
		for _, e := range endpoints {
			s := e.slots[ref]
			if !e.acceptsRequests() || s.closing {
				continue
			}
			if s.state == slotResident {
				ready = true
				freePlaces += max(0, e.freePlaces())
			}
		}
		if ready {
			resident = append(resident, ResidentCopy{Adapter: ref, Free: freePlaces})
			continue
		}
		loading = append(loading, ref)
	}
	slices.SortFunc(resident, func(a, b ResidentCopy) int { return compareRefs(a.Adapter, b.Adapter) })
	slices.SortFunc(loading, compareRefs)
	return resident, loading
}

func compareRefs(a, b fleet.AdapterRef) int {
	if c := cmp.Compare(a.Name, b.Name); c != 0 {
		return c
	}
	return cmp.Compare(a.Version, b.Version)
}

// SlotView is a slot as shown to operators.
type SlotView struct {
	Endpoint string
	Adapter  string
	State    string
	Running  int
	Foreign  bool
	Closing  bool
	Pinned   bool
	Since    time.Time
	LastUsed time.Time
	Value    float64
}

// Slots returns the slots of the pool, sorted by endpoint and adapter.
func (p *Placer) Slots(now time.Time) []SlotView {
	var out []SlotView
	for _, e := range p.endpoints {
		for _, s := range e.slots {
			out = append(out, SlotView{
				Endpoint: e.spec.Name, Adapter: s.adapter.String(), State: s.state.String(),
				Running: e.ticketsByAdapter[s.adapter], Foreign: s.foreign, Closing: s.closing, Pinned: p.pinned[s.adapter],
				Since: s.since, LastUsed: s.lastUsed, Value: p.arrivalRates.Rate(now, s.adapter),
			})
		}
	}
	slices.SortFunc(out, func(a, b SlotView) int {
		if c := cmp.Compare(a.Endpoint, b.Endpoint); c != 0 {
			return c
		}
		return cmp.Compare(a.Adapter, b.Adapter)
	})
	return out
}

// String returns the name of the state.
func (s slotState) String() string {
	return [...]string{"loading", "resident", "unknown"}[s]
}

// EndpointView is an endpoint as shown to operators.
type EndpointView struct {
	Endpoint    string
	Incarnation string
	Fence       uint64
	Up          bool
	Leaving     bool
	Drained     bool
	Frozen      bool
	Uncertain   bool
	Running     int
	MaxBatch    int
	Slots       int
	Used        int
}

// Endpoints returns the endpoints of the pool.
func (p *Placer) Endpoints(now time.Time) []EndpointView {
	out := make([]EndpointView, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		out = append(out, EndpointView{
			Endpoint: e.spec.Name, Incarnation: e.incarnation, Fence: e.fence, Up: e.up, Leaving: e.leaving,
			Drained: e.drained, Frozen: !e.mayUnload(now), Uncertain: e.uncertain, Running: e.running,
			MaxBatch: e.spec.MaxBatch, Slots: e.spec.Slots, Used: len(e.slots),
		})
	}
	return out
}

// WaitingView is a queued request as shown to operators.
type WaitingView struct {
	Request string
	Caller  string
	Class   string
	Adapter string
	Tokens  int
	Queued  time.Time
	Cause   string
}

// Waiting returns the queued requests, the oldest first.
func (p *Placer) Waiting() []WaitingView {
	out := make([]WaitingView, 0, p.queue.Len())
	for _, w := range p.queue.InArrivalOrder() {
		r := w.Request
		out = append(out, WaitingView{
			Request: r.ID, Caller: r.Caller, Class: r.Class, Adapter: r.Adapter.String(),
			Tokens: r.Tokens(), Queued: w.Queued, Cause: p.waitCause(r),
		})
	}
	slices.SortFunc(out, func(a, b WaitingView) int { return a.Queued.Compare(b.Queued) })
	return out
}

// Tickets returns the granted tickets that have not been returned.
func (p *Placer) Tickets() []fleet.Ticket {
	out := make([]fleet.Ticket, 0, len(p.tickets))
	for _, held := range p.tickets {
		out = append(out, held.ticket)
	}
	slices.SortFunc(out, func(a, b fleet.Ticket) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
