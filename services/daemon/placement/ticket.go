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
	ticket   fleet.Ticket
	request  fleet.Request
	granted  time.Time
	orphaned time.Time
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
		p.queue.Remove(w)
	}
	return p.take()
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
