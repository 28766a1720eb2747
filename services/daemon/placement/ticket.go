// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// grantedTicket is a granted ticket that has not been returned.
type grantedTicket struct {
	ticket    fleet.Ticket
	request   fleet.Request
	grantedAt time.Time
	// confirmedAt is when the entry last reported that it uses the ticket, or the zero time.
	confirmedAt time.Time
	// orphanedAt is when the entry was lost, or the zero time.
	orphanedAt time.Time
}

// unconfirmedFor reports whether more than limit has passed both since the grant and since the last confirmation by the entry.
func (t *grantedTicket) unconfirmedFor(now time.Time, limit time.Duration) bool {
	return now.Sub(t.grantedAt) > limit && now.Sub(t.confirmedAt) > limit
}

func (p *Placer) nextTicketID() string {
	p.sequence++
	return p.instance + "/" + p.pool + "/" + p.epoch + "/" + strconv.FormatUint(p.sequence, 10)
}

// ReturnTicket removes a ticket after its request has ended on the endpoint.
func (p *Placer) ReturnTicket(now time.Time, ticketID string) []Effect {
	granted, ok := p.tickets[ticketID]
	if !ok {
		return nil
	}
	e := p.dropTicket(now, granted)
	if e != nil {
		p.dispatchEndpoint(now, e)
	}
	return p.takeEffects()
}

func (p *Placer) dropTicket(now time.Time, granted *grantedTicket) *endpointState {
	p.bid.valid = false
	delete(p.tickets, granted.ticket.ID)
	if p.ticketByRequest[granted.request.ID] == granted {
		delete(p.ticketByRequest, granted.request.ID)
	}
	e := p.endpointByName[granted.ticket.Endpoint]
	if e == nil || !e.ticketMayRun(granted.ticket) {
		return e
	}
	e.removeTicket(granted.ticket, granted.request.Caller)
	if s, ok := e.slots[granted.ticket.Adapter]; ok {
		s.lastUsed = now
	}
	return e
}

// RestoreTicket adds a ticket that an entry still holds from a previous placer.
func (p *Placer) RestoreTicket(now time.Time, t fleet.Ticket, r fleet.Request) []Effect {
	if _, ok := p.tickets[t.ID]; ok {
		return nil
	}
	e := p.endpointByName[t.Endpoint]
	if e == nil || !e.ticketMayRun(t) {
		return nil
	}
	granted := &grantedTicket{ticket: t, request: r, grantedAt: now}
	p.tickets[t.ID] = granted
	p.ticketByRequest[r.ID] = granted
	e.addTicket(t, r.Caller)
	return p.takeEffects()
}

// HandleEntryLoss marks the tickets of a lost entry as orphaned and removes its waiting requests. The tickets count as in use until the endpoint
// reports that their requests have ended.
func (p *Placer) HandleEntryLoss(now time.Time, entry string) []Effect {
	p.markOrphaned(now, p.ticketsOfEntry(entry))
	for _, w := range p.waitersOfEntry(entry) {
		p.queue.Remove(w)
	}
	return p.takeEffects()
}

// markOrphaned marks tickets whose entries are lost.
func (p *Placer) markOrphaned(now time.Time, tickets []*grantedTicket) {
	takeovers := make(map[string]bool)
	for _, granted := range tickets {
		if !granted.orphanedAt.IsZero() {
			continue
		}
		granted.orphanedAt = now
		e := p.endpointByName[granted.ticket.Endpoint]
		if e != nil && e.spec.ChecksFence && !takeovers[e.spec.Name] {
			// Under a new fence, the endpoint refuses requests that the lost entry may still send.
			takeovers[e.spec.Name] = true
			p.effects = append(p.effects, RepeatTakeover{Endpoint: e.spec.Name})
		}
	}
}

// sweepTickets marks tickets as orphaned that their entries have not confirmed for TicketTTL, because the loss of an entry
// is reported only within the pool's hall. It removes tickets that have been orphaned for TicketTTL.
func (p *Placer) sweepTickets(now time.Time) {
	p.markOrphaned(now, p.ticketsWhere(func(granted *grantedTicket) bool { return granted.unconfirmedFor(now, p.options.TicketTTL) }))
	for _, granted := range p.tickets {
		if !granted.orphanedAt.IsZero() && now.Sub(granted.orphanedAt) > p.options.TicketTTL {
			p.dropTicket(now, granted)
		}
	}
}

func (p *Placer) waitersOfEntry(entry string) []*queue.Waiter {
	var out []*queue.Waiter
	for _, w := range p.queue.InArrivalOrder() {
		if w.Request.Entry == entry {
			out = append(out, w)
		}
	}
	return out
}

// ReconcileTickets compares the granted tickets of an entry with the tickets that it reports as used.
// A ticket that the entry does not report has ended if its grant is older than tooOld and so can
// no longer be in transit. A reported ticket is not orphaned, or no longer so.
func (p *Placer) ReconcileTickets(now time.Time, entry string, uses []fleet.TicketUse, tooOld time.Duration) []Effect {
	reported := make(map[string]bool, len(uses))
	for _, u := range uses {
		reported[u.Ticket.ID] = true
		p.effects = append(p.effects, p.RestoreTicket(now, u.Ticket, u.Request)...)
		if granted, ok := p.tickets[u.Ticket.ID]; ok {
			granted.confirmedAt = now
			granted.orphanedAt = time.Time{}
		}
	}
	for _, granted := range p.ticketsOfEntry(entry) {
		if reported[granted.ticket.ID] || now.Sub(granted.grantedAt) < tooOld {
			continue
		}
		if e := p.dropTicket(now, granted); e != nil {
			p.dispatchEndpoint(now, e)
		}
	}
	return p.takeEffects()
}

func (p *Placer) ticketsOfEntry(entry string) []*grantedTicket {
	return p.ticketsWhere(func(granted *grantedTicket) bool { return granted.ticket.Entry == entry })
}

// ticketsWhere returns the tickets that match, sorted by ID.
func (p *Placer) ticketsWhere(match func(granted *grantedTicket) bool) []*grantedTicket {
	var out []*grantedTicket
	for _, granted := range p.tickets {
		if match(granted) {
			out = append(out, granted)
		}
	}
	slices.SortFunc(out, func(a, b *grantedTicket) int { return cmp.Compare(a.ticket.ID, b.ticket.ID) })
	return out
}

// TicketsInUse returns the granted tickets with their requests, for the next placer of the pool.
func (p *Placer) TicketsInUse() []fleet.TicketUse {
	out := make([]fleet.TicketUse, 0, len(p.tickets))
	for _, granted := range p.tickets {
		out = append(out, fleet.TicketUse{Ticket: granted.ticket, Request: granted.request})
	}
	slices.SortFunc(out, func(a, b fleet.TicketUse) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	return out
}
