// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Inspection is an endpoint's own account of itself, newer than any order before Began.
type Inspection struct {
	Endpoint    string
	Incarnation string
	Began       time.Time
	Resident    []fleet.AdapterRef
	// Running lists the adapters that the endpoint runs or queues requests for.
	Running []fleet.AdapterRef
	Up      bool
}

// Adopt takes an endpoint over under a fence; nothing is unloaded before frozenUntil.
func (p *Placer) Adopt(now time.Time, in Inspection, fence uint64, frozenUntil time.Time) []Effect {
	e := p.byName[in.Endpoint]
	if e == nil {
		return nil
	}
	e.fence = fence
	e.fenceLost = false
	e.frozenUntil = frozenUntil
	if frozenUntil.After(now) {
		p.note(now, fleet.Event{Kind: fleet.EventFreeze, Endpoint: in.Endpoint, Fence: fence, Cause: "earlier grants may still start; no unload until they cannot"})
	}
	if e.incarnation != in.Incarnation {
		p.restart(now, e, in.Incarnation)
	}
	return p.takeIn(now, in, true)
}

// Inspected corrects what is known by the endpoint's own list.
func (p *Placer) Inspected(now time.Time, in Inspection) []Effect {
	return p.takeIn(now, in, false)
}

func (p *Placer) takeIn(now time.Time, in Inspection, adopting bool) []Effect {
	e := p.byName[in.Endpoint]
	if e == nil {
		return nil
	}
	if in.Began.Before(e.seen) {
		// An older list that was overtaken by a younger one tells nothing new.
		return p.take()
	}
	e.seen = in.Began
	if !in.Up {
		p.down(now, e)
		return p.take()
	}
	if e.incarnation != in.Incarnation {
		p.restart(now, e, in.Incarnation)
		if e.spec.ChecksFence {
			// It has forgotten the fence, so that a former placer's orders would count as well as ours.
			e.fenceLost = true
			p.effects = append(p.effects, Retake{Endpoint: e.spec.Name})
			return p.take()
		}
	}
	if e.awaitsOrders(in.Began) {
		// What such an order unloads may be on the list; a list that was read after its end shows what is there.
		e.uncertain = true
		return p.take()
	}
	if !e.up {
		e.up = true
		p.note(now, fleet.Event{Kind: fleet.EventEndpointUp, Endpoint: in.Endpoint})
	}
	p.reconcile(now, e, in, adopting)
	p.dispatchEndpoint(now, e)
	return p.take()
}

// restart forgets what the endpoint's former life held.
func (p *Placer) restart(now time.Time, e *endpointState, incarnation string) {
	if e.incarnation != "" {
		p.note(now, fleet.Event{Kind: fleet.EventRestarted, Endpoint: e.spec.Name, Cause: "new incarnation " + incarnation})
	}
	e.beginLife(incarnation, p.options.LoadTimeout)
	for ref := range e.slots {
		p.dropCopy(e, ref)
	}
}

// reconcile makes the slots match the endpoint's list, save loads still on their way.
func (p *Placer) reconcile(now time.Time, e *endpointState, in Inspection, adopting bool) {
	loading := false
	for ref, s := range e.slots {
		listed := slices.Contains(in.Resident, ref)
		switch {
		case s.state == slotLoading && s.since.Add(p.options.LoadTimeout).After(now):
			loading = true
		case s.since.After(in.Began):
		case !listed:
			if s.state == slotLoading {
				e.loading--
			}
			p.dropCopy(e, ref)
			p.note(now, fleet.Event{Kind: fleet.EventUnloaded, Adapter: ref.String(), Endpoint: e.spec.Name, Cause: "the endpoint no longer lists it"})
		case s.state == slotUnknown && e.unloadMayBeLate(in.Began, ref):
			// The list may be from before the unload: the slot stays unknown, neither granted nor evicted.
		case s.state == slotUnknown || s.state == slotLoading:
			if s.state == slotLoading {
				e.loading--
			}
			s.state = slotResident
			s.since = now
		}
	}
	for _, ref := range in.Resident {
		p.adoptSlot(now, in.Began, e, ref)
	}
	p.markForeign(now, e, in, adopting)
	maps.DeleteFunc(e.lateUnloads, func(_ fleet.AdapterRef, until time.Time) bool { return !until.After(in.Began) })
	if !loading {
		e.uncertain = false
	}
}

// adoptSlot enters an adapter that the endpoint holds, by a list that began to be read at a time, and that was not known.
func (p *Placer) adoptSlot(now, began time.Time, e *endpointState, ref fleet.AdapterRef) {
	if e.slots[ref] != nil || e.unloadOrdered(ref) {
		return
	}
	s := &slot{adapter: ref, state: slotResident, since: now, lastUsed: now}
	if e.unloadMayBeLate(began, ref) {
		// It takes a slot, but is neither granted nor evicted.
		s.state = slotUnknown
	}
	p.addCopy(e, s)
}

// markForeign protects adapters that run without a ticket of ours, and lets
// orphaned tickets go once the endpoint shows that their work has ended.
func (p *Placer) markForeign(now time.Time, e *endpointState, in Inspection, adopting bool) {
	own := make(map[fleet.AdapterRef]bool)
	for _, held := range p.tickets {
		t := held.ticket
		if t.Endpoint != e.spec.Name || !e.admits(t) {
			continue
		}
		if p.over(e, held, in) && !slices.Contains(in.Running, t.Adapter) {
			p.release(now, held)
			continue
		}
		own[t.Adapter] = true
	}
	for ref, s := range e.slots {
		// The list names adapters and not requests, so that a ticket of ours explains a
		// running adapter only if nothing else was known to run on it.
		s.foreign = slices.Contains(in.Running, ref) && (s.foreign || adopting || !own[ref])
	}
}

// over tells whether an orphaned ticket's request can no longer start: by the fence
// where the endpoint checks it, and else by the time within which it had to.
func (p *Placer) over(e *endpointState, held *heldTicket, in Inspection) bool {
	if held.orphaned.IsZero() {
		return false
	}
	if e.spec.ChecksFence {
		return e.fence > held.ticket.Fence
	}
	return in.Began.After(held.orphaned.Add(p.options.StartWithin))
}

// down takes an endpoint out of use until it answers again.
func (p *Placer) down(now time.Time, e *endpointState) {
	if !e.up {
		return
	}
	e.up = false
	p.note(now, fleet.Event{Kind: fleet.EventEndpointDown, Endpoint: e.spec.Name})
}
