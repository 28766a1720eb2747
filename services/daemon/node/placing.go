// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// maxWaitingTaken bounds the requests of a pool that wait for its takeover; one above it is placed at once, and refused if no endpoint has
// answered. It bounds the memory in a rush after a loss.
const maxWaitingTaken = 20000

// submitted takes a request for a ticket.
func (n *Node) submitted(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Submit.Pool]
	if ps == nil || !ps.mine {
		n.learnReply(now, e)
		n.elsewhere(e, e.Submit.Pool)
		return
	}
	n.learnReply(now, e)
	if ps.takeover.Holds(now) && len(ps.waiting) < maxWaitingTaken {
		ps.waiting = append(ps.waiting, e)
		return
	}
	n.place(now, ps, e)
}

// learnReply remembers where a request's entry is and the latest of its stamps.
func (n *Node) learnReply(now time.Time, e fleet.Envelope) {
	hall := e.Submit.Request.Hall
	n.learnEntry(now, fleet.Instance{ID: e.From, Hall: hall, Address: e.Submit.Reply}, e.Submit.Stamp)
}

// place puts a request before the placer; its deadline is counted from now by this node's clock.
func (n *Node) place(now time.Time, ps *poolState, e fleet.Envelope) {
	r := e.Submit.Request
	r.Entry = e.From
	r.Arrived = now
	if !r.Deadline.IsZero() {
		r.Deadline = now.Add(e.Submit.Wait)
	}
	n.run(now, ps, ps.placer.Submit(now, r))
}

// elsewhere tells an entry that this node does not place the pool.
func (n *Node) elsewhere(e fleet.Envelope, pool string) {
	r := e.Submit.Request
	refused := &fleet.Refused{Pool: pool, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonNoPlacer}, NotPlacer: true, Attempt: r.Attempt}
	if e.From == n.options.Self.ID {
		return
	}
	if p := n.entries[e.From]; p != nil {
		n.send(p.instance, fleet.Envelope{Refused: refused})
	}
}

func (n *Node) withdrawn(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Withdraw.Pool]
	if ps == nil || !ps.mine {
		return
	}
	n.run(now, ps, ps.placer.Cancel(now, e.Withdraw.RequestID))
}

func (n *Node) returned(now time.Time, r *fleet.Returned) {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.mine {
		return
	}
	for _, id := range r.Tickets {
		n.run(now, ps, ps.placer.Return(now, id))
	}
}

// redeclared takes an entry's full list of the pool's tickets in use.
func (n *Node) redeclared(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Redeclare.Pool]
	if ps == nil || !ps.mine {
		return
	}
	n.run(now, ps, ps.placer.Reconfirm(now, e.From, e.Redeclare.Uses, n.tooOld()))
}

// run carries a placer's effects on.
func (n *Node) run(now time.Time, ps *poolState, effects []placement.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.Grant:
			n.grant(now, ps, e)
		case placement.Refuse:
			n.refuse(now, ps, e)
		case placement.Load:
			n.emit(Order{Term: ps.term, Endpoint: n.endpointOf(ps, e.Endpoint), Load: e})
		case placement.Inspect:
			ps.takeover.Inspect(now, e.Endpoint)
			n.emit(Inspect{Pool: ps.pool.Name, Term: ps.term, Endpoint: n.endpointOf(ps, e.Endpoint)})
		case placement.Retake:
			ps.takeover.Retake(e.Endpoint)
			n.retryTakes(now, ps)
		case placement.Note:
			event := e.Event
			n.note(now, event)
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

func (n *Node) grant(now time.Time, ps *poolState, g placement.Grant) {
	entry := g.Request.Entry
	if entry == n.options.Self.ID {
		n.grantSelf(now, ps, g)
		return
	}
	p := n.entries[entry]
	if p == nil {
		return
	}
	n.send(p.instance, fleet.Envelope{Granted: &fleet.Granted{Ticket: g.Ticket, Stamp: p.stamp, Attempt: g.Request.Attempt}})
}

func (n *Node) grantSelf(now time.Time, ps *poolState, g placement.Grant) {
	p, ok := n.pending.FindAttempt(g.Ticket.RequestID, g.Request.Attempt)
	if !ok {
		if !n.uses.Has(g.Ticket.ID) {
			n.run(now, ps, ps.placer.Return(now, g.Ticket.ID))
		}
		return
	}
	n.pending.Remove(g.Ticket.RequestID)
	n.deliver(now, g.Ticket, p.Request)
}

func (n *Node) refuse(now time.Time, ps *poolState, r placement.Refuse) {
	elsewhere := r.Refusal.Reason == fleet.ReasonNoPlacer
	if r.Request.Entry == n.options.Self.ID {
		n.refuseSelf(now, r, elsewhere)
		return
	}
	p := n.entries[r.Request.Entry]
	if p == nil {
		return
	}
	n.send(p.instance, fleet.Envelope{Refused: &fleet.Refused{Pool: ps.pool.Name, Refusal: r.Refusal, NotPlacer: elsewhere, Attempt: r.Request.Attempt}})
}

func (n *Node) refuseSelf(now time.Time, r placement.Refuse, elsewhere bool) {
	p, ok := n.pending.FindAttempt(r.Request.ID, r.Request.Attempt)
	if !ok {
		return
	}
	if elsewhere {
		p.Elsewhere(now)
		return
	}
	n.pending.Remove(r.Request.ID)
	n.emit(Reject{RequestID: r.Request.ID, Refusal: r.Refusal})
}
