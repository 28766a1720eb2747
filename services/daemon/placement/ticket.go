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

// heldTicket is a granted ticket that has not come back.
type heldTicket struct {
	ticket  fleet.Ticket
	request fleet.Request
	granted time.Time
	// named is when the entry last said that it uses the ticket, or the zero time.
	named time.Time
	// orphaned is when the entry was lost, or the zero time.
	orphaned time.Time
}

// silent tells whether the entry has not named the ticket for the given time.
func (h *heldTicket) silent(now time.Time, limit time.Duration) bool {
	return now.Sub(h.granted) > limit && now.Sub(h.named) > limit
}

func (p *Placer) nextTicketID() string {
	p.sequence++
	return p.self + "/" + p.pool + "/" + p.epoch + "/" + strconv.FormatUint(p.sequence, 10)
}

// Return takes a ticket back after its request has ended on the endpoint.
func (p *Placer) Return(now time.Time, ticketID string) []Effect {
	held, ok := p.tickets[ticketID]
	if !ok {
		return nil
	}
	e := p.release(now, held)
	if e != nil {
		p.dispatchEndpoint(now, e)
	}
	return p.take()
}

func (p *Placer) release(now time.Time, held *heldTicket) *endpointState {
	p.bid.fresh = false
	delete(p.tickets, held.ticket.ID)
	if p.byRequest[held.request.ID] == held {
		delete(p.byRequest, held.request.ID)
	}
	e := p.byName[held.ticket.Endpoint]
	if e == nil || !e.admits(held.ticket) {
		return e
	}
	e.leave(held.ticket, held.request.Caller)
	if s, ok := e.slots[held.ticket.Adapter]; ok {
		s.lastUsed = now
	}
	return e
}

// Redeclare enters a ticket that an entry still holds from a former placer.
func (p *Placer) Redeclare(now time.Time, t fleet.Ticket, r fleet.Request) []Effect {
	if _, ok := p.tickets[t.ID]; ok {
		return nil
	}
	e := p.byName[t.Endpoint]
	if e == nil || !e.admits(t) {
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
	p.orphan(now, p.heldBy(entry))
	for _, w := range p.waitersOf(entry) {
		p.queue.Remove(w)
	}
	return p.take()
}

// orphan marks tickets whose entries are lost.
func (p *Placer) orphan(now time.Time, tickets []*heldTicket) {
	retake := make(map[string]bool)
	for _, held := range tickets {
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
}

// sweepTickets takes entries that have long not named a ticket for lost, since a loss is told of entries in the pool's hall
// alone, and lets the tickets of lost entries go after their life.
func (p *Placer) sweepTickets(now time.Time) {
	p.orphan(now, p.heldWhere(func(held *heldTicket) bool { return held.silent(now, p.options.TicketLife) }))
	for _, held := range p.tickets {
		if !held.orphaned.IsZero() && now.Sub(held.orphaned) > p.options.TicketLife {
			p.release(now, held)
		}
	}
}

func (p *Placer) waitersOf(entry string) []*queue.Waiter {
	var out []*queue.Waiter
	for _, w := range p.queue.Sorted() {
		if w.Request.Entry == entry {
			out = append(out, w)
		}
	}
	return out
}

// Reconfirm compares what was granted with the tickets that an entry says it uses: one that
// the entry does not know, and whose grant is too old to be on its way, has ended. One that it
// names is not, or no more, that of a lost entry.
func (p *Placer) Reconfirm(now time.Time, entry string, uses []fleet.TicketUse, tooOld time.Duration) []Effect {
	known := make(map[string]bool, len(uses))
	for _, u := range uses {
		known[u.Ticket.ID] = true
		p.effects = append(p.effects, p.Redeclare(now, u.Ticket, u.Request)...)
		if held, ok := p.tickets[u.Ticket.ID]; ok {
			held.named = now
			held.orphaned = time.Time{}
		}
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
	return p.heldWhere(func(held *heldTicket) bool { return held.ticket.Entry == entry })
}

// heldWhere lists the tickets of one kind by their names.
func (p *Placer) heldWhere(match func(held *heldTicket) bool) []*heldTicket {
	var out []*heldTicket
	for _, held := range p.tickets {
		if match(held) {
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
