// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// maxWaitingForTakeover is the maximum number of requests that wait for a pool's takeover. Further requests go to the placer at once and are
// refused if no endpoint has answered. The limit bounds the memory used by a burst of requests after the loss of an instance.
const maxWaitingForTakeover = 20000

// handleSubmit processes a request for a ticket.
func (n *Node) handleSubmit(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Submit.Pool]
	if ps == nil || !ps.isPlacer {
		n.storeSubmitter(now, e)
		n.replyNotPlacer(e, e.Submit.Pool)
		return
	}
	n.storeSubmitter(now, e)
	if ps.takeover.HoldsRequests(now) && len(ps.heldRequests) < maxWaitingForTakeover {
		ps.heldRequests = append(ps.heldRequests, e)
		return
	}
	n.submitToPlacer(now, ps, e)
}

// storeSubmitter stores the address and the latest stamp of a request's entry.
func (n *Node) storeSubmitter(now time.Time, e fleet.Envelope) {
	hall := e.Submit.Request.Hall
	n.storeEntry(now, fleet.Instance{ID: e.From, Hall: hall, Address: e.Submit.Reply}, e.Submit.Stamp)
}

// submitToPlacer submits a request to the placer. The deadline is recomputed from the remaining wait by this node's clock.
func (n *Node) submitToPlacer(now time.Time, ps *poolState, e fleet.Envelope) {
	r := e.Submit.Request
	r.Entry = e.From
	r.Arrived = now
	if !r.Deadline.IsZero() {
		r.Deadline = now.Add(e.Submit.Wait)
	}
	n.applyPlacerEffects(now, ps, ps.placer.Submit(now, r))
}

// replyNotPlacer informs an entry that this node is not the pool's placer.
func (n *Node) replyNotPlacer(e fleet.Envelope, pool string) {
	r := e.Submit.Request
	refused := &fleet.Refused{Pool: pool, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonNoPlacer}, NotPlacer: true, Attempt: r.Attempt}
	if e.From == n.options.Self.ID {
		return
	}
	if p := n.entries[e.From]; p != nil {
		n.send(p.instance, fleet.Envelope{Refused: refused})
	}
}

func (n *Node) handleWithdraw(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Withdraw.Pool]
	if ps == nil || !ps.isPlacer {
		return
	}
	n.applyPlacerEffects(now, ps, ps.placer.Withdraw(now, e.Withdraw.RequestID))
}

func (n *Node) handleReturned(now time.Time, r *fleet.Returned) {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.isPlacer {
		return
	}
	for _, id := range r.Tickets {
		n.applyPlacerEffects(now, ps, ps.placer.ReturnTicket(now, id))
	}
}

// handleTicketReport processes an entry's full list of its tickets in use of a pool.
func (n *Node) handleTicketReport(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.TicketReport.Pool]
	if ps == nil || !ps.isPlacer {
		return
	}
	n.applyPlacerEffects(now, ps, ps.placer.ReconcileTickets(now, e.From, e.TicketReport.Uses, n.grantLossAge()))
}

// applyPlacerEffects carries out a placer's effects.
func (n *Node) applyPlacerEffects(now time.Time, ps *poolState, effects []placement.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.Grant:
			n.sendGrant(now, ps, e)
		case placement.Refuse:
			n.sendRefusal(now, ps, e)
		case placement.Load:
			n.emit(OrderLoad{Term: ps.term, Endpoint: n.endpointOf(ps, e.Endpoint), Load: e})
		case placement.InspectEndpoint:
			ps.takeover.MarkInspected(now, e.Endpoint)
			n.emit(InspectEndpoint{Pool: ps.pool.Name, Term: ps.term, Endpoint: n.endpointOf(ps, e.Endpoint)})
		case placement.RepeatTakeover:
			ps.takeover.RepeatOrder(e.Endpoint)
			n.sendTakeoverOrders(now, ps)
		case placement.RecordEvent:
			event := e.Event
			n.recordEvent(now, event)
		}
	}
}

func (n *Node) endpointOf(ps *poolState, name string) fleet.Endpoint {
	for _, e := range ps.pool.Endpoints {
		if e.Name == name {
			return e
		}
	}
	return fleet.Endpoint{Name: name}
}

func (n *Node) sendGrant(now time.Time, ps *poolState, g placement.Grant) {
	entry := g.Request.Entry
	if entry == n.options.Self.ID {
		n.grantLocally(now, ps, g)
		return
	}
	p := n.entries[entry]
	if p == nil {
		return
	}
	n.send(p.instance, fleet.Envelope{Granted: &fleet.Granted{Ticket: g.Ticket, Stamp: p.stamp, Attempt: g.Request.Attempt}})
}

func (n *Node) grantLocally(now time.Time, ps *poolState, g placement.Grant) {
	p, ok := n.pending.FindAttempt(g.Ticket.RequestID, g.Request.Attempt)
	if !ok {
		if !n.ticketUses.Has(g.Ticket.ID) {
			n.applyPlacerEffects(now, ps, ps.placer.ReturnTicket(now, g.Ticket.ID))
		}
		return
	}
	n.pending.Remove(g.Ticket.RequestID)
	n.deliver(now, g.Ticket, p.Request)
}

func (n *Node) sendRefusal(now time.Time, ps *poolState, r placement.Refuse) {
	notPlacer := r.Refusal.Reason == fleet.ReasonNoPlacer
	if r.Request.Entry == n.options.Self.ID {
		n.refuseLocally(now, r, notPlacer)
		return
	}
	p := n.entries[r.Request.Entry]
	if p == nil {
		return
	}
	n.send(p.instance, fleet.Envelope{Refused: &fleet.Refused{Pool: ps.pool.Name, Refusal: r.Refusal, NotPlacer: notPlacer, Attempt: r.Request.Attempt}})
}

func (n *Node) refuseLocally(now time.Time, r placement.Refuse, notPlacer bool) {
	p, ok := n.pending.FindAttempt(r.Request.ID, r.Request.Attempt)
	if !ok {
		return
	}
	if notPlacer {
		p.RecordWrongPlacer(now)
		return
	}
	n.pending.Remove(r.Request.ID)
	n.emit(Reject{RequestID: r.Request.ID, Refusal: r.Refusal})
}
