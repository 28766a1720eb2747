// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Inspection is the state that an endpoint reports. It reflects every order that ended before StartedAt.
type Inspection struct {
	Endpoint    string
	Incarnation string
	StartedAt   time.Time
	Resident    []fleet.AdapterRef
	// Running lists the adapters for which the endpoint runs or queues requests.
	Running []fleet.AdapterRef
	Up      bool
}

// TakeOverEndpoint takes over an endpoint under a fence. Nothing is unloaded on it before frozenUntil.
func (p *Placer) TakeOverEndpoint(now time.Time, in Inspection, fence uint64, frozenUntil time.Time) []Effect {
	e := p.endpointByName[in.Endpoint]
	if e == nil {
		return nil
	}
	e.fence = fence
	e.fenceLost = false
	e.frozenUntil = frozenUntil
	if frozenUntil.After(now) {
		p.recordEvent(now, fleet.Event{Kind: fleet.EventFreeze, Endpoint: in.Endpoint, Fence: fence, Cause: "earlier grants may still start; no unload until they cannot"})
	}
	if e.incarnation != in.Incarnation {
		p.handleRestart(now, e, in.Incarnation)
	}
	return p.applyInspection(now, in, true)
}

// HandleInspection updates the state of an endpoint from an inspection.
func (p *Placer) HandleInspection(now time.Time, in Inspection) []Effect {
	return p.applyInspection(now, in, false)
}

func (p *Placer) applyInspection(now time.Time, in Inspection, takingOver bool) []Effect {
	e := p.endpointByName[in.Endpoint]
	if e == nil {
		return nil
	}
	if in.StartedAt.Before(e.inspectedAt) {
		// A newer inspection has already been applied.
		return p.takeEffects()
	}
	e.inspectedAt = in.StartedAt
	if !in.Up {
		p.markDown(now, e)
		return p.takeEffects()
	}
	if e.incarnation != in.Incarnation {
		p.handleRestart(now, e, in.Incarnation)
		if e.spec.ChecksFence {
			// The restarted endpoint has lost the fence, so it would also accept orders of a previous placer.
			e.fenceLost = true
			p.effects = append(p.effects, RepeatTakeover{Endpoint: e.spec.Name})
			return p.takeEffects()
		}
	}
	if e.previousOrderMayArrive(in.StartedAt) {
		// The report may list an adapter that such an order is about to unload; only an inspection that began after the order
		// ended is reliable.
		e.uncertain = true
		return p.takeEffects()
	}
	if !e.up {
		e.up = true
		p.recordEvent(now, fleet.Event{Kind: fleet.EventEndpointUp, Endpoint: in.Endpoint})
	}
	p.reconcileSlots(now, e, in, takingOver)
	p.dispatchEndpoint(now, e)
	return p.takeEffects()
}

// handleRestart drops the copies of the endpoint's previous incarnation.
func (p *Placer) handleRestart(now time.Time, e *endpointState, incarnation string) {
	if e.incarnation != "" {
		p.recordEvent(now, fleet.Event{Kind: fleet.EventRestarted, Endpoint: e.spec.Name, Cause: "new incarnation " + incarnation})
	}
	e.setIncarnation(incarnation, p.options.LoadTimeout)
	for ref := range e.slots {
		p.removeCopy(e, ref)
	}
}

// reconcileSlots makes the slots match the endpoint's report, except for pending loads.
func (p *Placer) reconcileSlots(now time.Time, e *endpointState, in Inspection, takingOver bool) {
	pendingLoads := false
	for ref, s := range e.slots {
		listed := slices.Contains(in.Resident, ref)
		switch {
		case s.state == slotLoading && s.since.Add(p.options.LoadTimeout).After(now):
			pendingLoads = true
		case s.since.After(in.StartedAt):
		case !listed:
			if s.state == slotLoading {
				e.pendingLoads--
			}
			p.removeCopy(e, ref)
			p.recordEvent(now, fleet.Event{Kind: fleet.EventUnloaded, Adapter: ref.String(), Endpoint: e.spec.Name, Cause: "the endpoint no longer lists it"})
		case s.state == slotUnknown && e.unansweredUnloadMayArrive(in.StartedAt, ref):
			// The report may precede the unload: the slot stays unknown, so it is neither granted nor evicted.
		case s.state == slotUnknown || s.state == slotLoading:
			if s.state == slotLoading {
				e.pendingLoads--
			}
			s.state = slotResident
			s.since = now
		}
	}
	for _, ref := range in.Resident {
		p.addReportedSlot(now, in.StartedAt, e, ref)
	}
	p.markForeign(now, e, in, takingOver)
	maps.DeleteFunc(e.unansweredUnloads, func(_ fleet.AdapterRef, until time.Time) bool { return !until.After(in.StartedAt) })
	if !pendingLoads {
		e.uncertain = false
	}
}

// addReportedSlot adds a slot for an adapter that the endpoint reports and that was not known. began is when the inspection began.
func (p *Placer) addReportedSlot(now, began time.Time, e *endpointState, ref fleet.AdapterRef) {
	if e.slots[ref] != nil || e.unloadOrdered(ref) {
		return
	}
	s := &slot{adapter: ref, state: slotResident, since: now, lastUsed: now}
	if e.unansweredUnloadMayArrive(began, ref) {
		// The adapter occupies a slot, but is neither granted nor evicted.
		s.state = slotUnknown
	}
	p.addCopy(e, s)
}

// markForeign protects adapters that run requests without a ticket of this placer, and
// removes orphaned tickets whose requests have ended according to the endpoint.
func (p *Placer) markForeign(now time.Time, e *endpointState, in Inspection, takingOver bool) {
	own := make(map[fleet.AdapterRef]bool)
	for _, granted := range p.tickets {
		t := granted.ticket
		if t.Endpoint != e.spec.Name || !e.ticketMayRun(t) {
			continue
		}
		if p.cannotStart(e, granted, in) && !slices.Contains(in.Running, t.Adapter) {
			p.dropTicket(now, granted)
			continue
		}
		own[t.Adapter] = true
	}
	for ref, s := range e.slots {
		// The report names adapters and not requests, so a ticket of this placer accounts for
		// a running adapter only if no other request was known to run on it.
		s.foreign = slices.Contains(in.Running, ref) && (s.foreign || takingOver || !own[ref])
	}
}

// cannotStart reports whether the request of an orphaned ticket can no longer start: an
// endpoint that checks fences has a newer fence than the ticket; on other endpoints, the
// inspection began later than StartWithin after the entry was lost.
func (p *Placer) cannotStart(e *endpointState, granted *grantedTicket, in Inspection) bool {
	if granted.orphanedAt.IsZero() {
		return false
	}
	if e.spec.ChecksFence {
		return e.fence > granted.ticket.Fence
	}
	return in.StartedAt.After(granted.orphanedAt.Add(p.options.StartWithin))
}

// markDown takes an endpoint out of use until an inspection shows that it is up.
func (p *Placer) markDown(now time.Time, e *endpointState) {
	if !e.up {
		return
	}
	e.up = false
	p.recordEvent(now, fleet.Event{Kind: fleet.EventEndpointDown, Endpoint: e.spec.Name})
}
