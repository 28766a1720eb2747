// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
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

// Inspected corrects the books by the endpoint's own list.
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
			// It has forgotten the fence, so that a former holder's orders would count as well as ours.
			e.fenceLost = true
			p.effects = append(p.effects, Retake{Endpoint: e.spec.Name})
			return p.take()
		}
	}
	if !e.up {
		e.up = true
		p.note(now, fleet.Event{Kind: fleet.EventEndpointUp, Endpoint: in.Endpoint})
	}
	p.reconcile(now, e, in, adopting)
	p.dispatchEndpoint(now, e)
	return p.take()
}

// restart forgets everything about the endpoint's former life.
func (p *Placer) restart(now time.Time, e *endpointState, incarnation string) {
	if e.incarnation != "" {
		p.note(now, fleet.Event{Kind: fleet.EventRestarted, Endpoint: e.spec.Name, Cause: "new incarnation " + incarnation})
	}
	for ref := range e.slots {
		p.dropCopy(e, ref)
	}
	e.incarnation = incarnation
	e.running = 0
	e.loading = 0
	e.uncertain = false
	clear(e.tenants)
	clear(e.using)
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
		case s.state == slotUnknown || s.state == slotLoading:
			if s.state == slotLoading {
				e.loading--
			}
			s.state = slotResident
			s.since = now
		}
	}
	for _, ref := range in.Resident {
		p.adoptSlot(now, e, ref)
	}
	p.markForeign(now, e, in, adopting)
	if !loading {
		e.uncertain = false
	}
}

// adoptSlot enters an adapter that the endpoint holds and the books do not.
func (p *Placer) adoptSlot(now time.Time, e *endpointState, ref fleet.AdapterRef) {
	if e.slots[ref] != nil {
		return
	}
	for _, s := range e.slots {
		if s.state == slotLoading && s.evicting == ref {
			return
		}
	}
	p.addCopy(e, &slot{adapter: ref, state: slotResident, since: now, lastUsed: now})
}

// markForeign protects adapters that run without a ticket of ours, and lets
// orphaned tickets go once the endpoint shows that their work has ended.
func (p *Placer) markForeign(now time.Time, e *endpointState, in Inspection, adopting bool) {
	own := make(map[fleet.AdapterRef]bool)
	for _, held := range p.tickets {
		t := held.ticket
		if t.Endpoint != e.spec.Name || t.Incarnation != e.incarnation {
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

// Redeclare enters a ticket that an entry still holds from a former placer.
func (p *Placer) Redeclare(now time.Time, t fleet.Ticket, r fleet.Request) []Effect {
	if _, ok := p.tickets[t.ID]; ok {
		return nil
	}
	e := p.byName[t.Endpoint]
	if e == nil || e.incarnation != t.Incarnation {
		return nil
	}
	held := &heldTicket{ticket: t, request: r, granted: now}
	p.tickets[t.ID] = held
	p.byRequest[r.ID] = held
	e.enter(t, r.Caller)
	return p.take()
}

// EntryLost marks the tickets of a lost entry; they stay in use until the endpoint shows otherwise.
func (p *Placer) EntryLost(now time.Time, entry string) []Effect {
	retake := make(map[string]bool)
	for _, held := range p.heldBy(entry) {
		if !held.orphaned.IsZero() {
			continue
		}
		held.orphaned = now
		e := p.byName[held.ticket.Endpoint]
		if e != nil && e.spec.ChecksFence && !retake[e.spec.Name] {
			// Under a new fence the endpoint refuses what the lost entry may still send.
			retake[e.spec.Name] = true
			p.effects = append(p.effects, Retake{Endpoint: e.spec.Name})
		}
	}
	for _, w := range p.waitersOf(entry) {
		p.queue.remove(w)
	}
	return p.take()
}

func (p *Placer) waitersOf(entry string) []*waiter {
	var out []*waiter
	for _, w := range p.queue.byID {
		if w.request.Entry == entry {
			out = append(out, w)
		}
	}
	return out
}

// SetLeaving stops or allows new work on an endpoint that the platform lists as leaving.
func (p *Placer) SetLeaving(now time.Time, endpoint string, leaving bool) []Effect {
	e := p.byName[endpoint]
	if e == nil || e.leaving == leaving {
		return nil
	}
	e.leaving = leaving
	p.note(now, fleet.Event{Kind: fleet.EventDrain, Endpoint: endpoint, Cause: "the platform lists the endpoint as leaving: " + boolWord(leaving)})
	p.dispatchEndpoint(now, e)
	return p.take()
}

// SetDrained stops or allows new work on an endpoint by an operator's command.
func (p *Placer) SetDrained(now time.Time, endpoint string, drained bool) []Effect {
	e := p.byName[endpoint]
	if e == nil || e.drained == drained {
		return nil
	}
	e.drained = drained
	p.note(now, fleet.Event{Kind: fleet.EventDrain, Endpoint: endpoint, Cause: "an operator drains the endpoint: " + boolWord(drained)})
	p.dispatchEndpoint(now, e)
	return p.take()
}

func boolWord(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Freeze forbids unloading on an endpoint until the given time.
func (p *Placer) Freeze(now time.Time, endpoint string, until time.Time, cause string) []Effect {
	e := p.byName[endpoint]
	if e == nil || !until.After(e.frozenUntil) {
		return nil
	}
	e.frozenUntil = until
	p.note(now, fleet.Event{Kind: fleet.EventFreeze, Endpoint: endpoint, Fence: e.fence, Cause: cause})
	return p.take()
}

// Thaw lifts a freeze, once no grant of a former placer can start any more.
func (p *Placer) Thaw(now time.Time, endpoint string, cause string) []Effect {
	e := p.byName[endpoint]
	if e == nil || !e.frozenUntil.After(now) {
		return nil
	}
	e.frozenUntil = now
	p.note(now, fleet.Event{Kind: fleet.EventThaw, Endpoint: endpoint, Fence: e.fence, Cause: cause})
	return p.take()
}

// AllowOrders bounds the right to order loads and unloads on an endpoint that checks no
// fences; the zero time says that the lease was never held yet, and forbids all use.
func (p *Placer) AllowOrders(endpoint string, until time.Time) {
	e := p.byName[endpoint]
	if e == nil {
		return
	}
	e.leased = true
	e.owned = e.owned || !until.IsZero()
	e.ordersUntil = until
}

// Reconfirm compares the books with the tickets that an entry says it uses: one that
// the entry does not know, and whose grant is too old to be on its way, has ended.
func (p *Placer) Reconfirm(now time.Time, entry string, uses []fleet.TicketUse, tooOld time.Duration) []Effect {
	known := make(map[string]bool, len(uses))
	for _, u := range uses {
		known[u.Ticket.ID] = true
		p.effects = append(p.effects, p.Redeclare(now, u.Ticket, u.Request)...)
	}
	for _, held := range p.heldBy(entry) {
		if known[held.ticket.ID] || now.Sub(held.granted) < tooOld {
			continue
		}
		if e := p.release(now, held); e != nil {
			p.dispatchEndpoint(now, e)
		}
	}
	return p.take()
}

func (p *Placer) heldBy(entry string) []*heldTicket {
	var out []*heldTicket
	for _, held := range p.tickets {
		if held.ticket.Entry == entry {
			out = append(out, held)
		}
	}
	slices.SortFunc(out, func(a, b *heldTicket) int { return cmp.Compare(a.ticket.ID, b.ticket.ID) })
	return out
}

// Uses lists the granted tickets with their requests, for a successor.
func (p *Placer) Uses() []fleet.TicketUse {
	out := make([]fleet.TicketUse, 0, len(p.tickets))
	for _, held := range p.tickets {
		out = append(out, fleet.TicketUse{Ticket: held.ticket, Request: held.request})
	}
	slices.SortFunc(out, func(a, b fleet.TicketUse) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	return out
}

// LoseFence stops all use of an endpoint that obeys another holder, until it is adopted again.
func (p *Placer) LoseFence(endpoint string) {
	if e := p.byName[endpoint]; e != nil {
		e.fenceLost = true
	}
}
