// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/waiting"
)

const (
	// retryStopping is when to send a request again that a stopping instance refuses; the next try goes to another instance.
	retryStopping = time.Second
	// retryNoEndpoint is when to send a request again that no endpoint or placer can take.
	retryNoEndpoint = 2 * time.Second
	// oldGrants is by how many times the greatest age of a usable grant, with the time to start, a grant must be older before its entry's
	// silence about it counts. Higher keeps a slot in use longer after a lost return.
	oldGrants = 2
)

// Submit takes a caller's request; the answer is a Deliver or a Reject, now or later.
func (n *Node) Submit(now time.Time, r fleet.Request) []Effect {
	if n.leaving && r.Attempt == 0 {
		n.emit(Reject{RequestID: r.ID, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonStopping, RetryAfter: retryStopping}})
		return n.take()
	}
	r.Entry = n.options.Self.ID
	r.Hall = n.options.Self.Hall
	p := &waiting.Request{Request: r}
	if rule, ok := n.config.Catalog().MatchRule(now, r); ok {
		if rule.Refuse {
			n.emit(Reject{RequestID: r.ID, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonRule}})
			return n.take()
		}
		p.Halls = rule.Halls
		p.Request.Priority = rule.Priority
	}
	n.pending.Add(p)
	n.route(now, p)
	n.spend(now)
	return n.take()
}

// Abandon withdraws a request whose caller has gone before a ticket came.
func (n *Node) Abandon(now time.Time, requestID string) []Effect {
	p, ok := n.pending.Find(requestID)
	if !ok {
		return nil
	}
	n.pending.Remove(requestID)
	n.withdraw(now, p)
	n.spend(now)
	return n.take()
}

// Finish gives a ticket back after its request has ended on the endpoint, or never started.
func (n *Node) Finish(now time.Time, ticketID string) []Effect {
	t, ok := n.uses.Remove(ticketID)
	if !ok {
		return nil
	}
	n.giveBack(now, t)
	n.spend(now)
	return n.take()
}

func (n *Node) giveBack(now time.Time, t fleet.Ticket) {
	ps := n.pools[t.Pool]
	if ps == nil {
		return
	}
	if ps.mine {
		n.run(now, ps, ps.placer.Return(now, t.ID))
		return
	}
	if to, ok := n.placerOf(ps); ok {
		n.send(to, fleet.Envelope{Returned: &fleet.Returned{Pool: t.Pool, Tickets: []string{t.ID}}})
	}
}

// placerOf finds the instance that places a pool, as far as this node knows.
func (n *Node) placerOf(ps *poolState) (fleet.Instance, bool) {
	if !ps.own {
		r := n.remotes[ps.pool.Hall]
		if r == nil {
			return fleet.Instance{}, false
		}
		return r.Placer(ps.pool.Name)
	}
	if m := n.members.Member(ps.placedBy); m != nil && m.Alive {
		return m.Instance, true
	}
	return fleet.Instance{}, false
}

// route chooses a pool for a waiting request and asks its placer.
func (n *Node) route(now time.Time, p *waiting.Request) {
	name, ok := n.router.Choose(now, p.Request, p.Halls)
	if !ok {
		n.pending.Remove(p.Request.ID)
		n.emit(Reject{RequestID: p.Request.ID, Refusal: fleet.Refusal{RequestID: p.Request.ID, Reason: fleet.ReasonNoEndpoint, RetryAfter: retryNoEndpoint}})
		return
	}
	if p.Pool != "" && p.Pool != name {
		n.withdraw(now, p)
	}
	p.Pool = name
	n.ask(now, p)
}

// ask submits a waiting request to its pool's placer, if there is one.
func (n *Node) ask(now time.Time, p *waiting.Request) {
	ps := n.pools[p.Pool]
	ps.dealt = true
	p.Ask(now, n.options.Timing.Resubmit)
	submit := &fleet.Submit{Pool: p.Pool, Request: p.Request, Reply: n.options.Self.Address, Stamp: n.stamp(now)}
	if !p.Request.Deadline.IsZero() {
		submit.Wait = p.Request.Deadline.Sub(now)
	}
	envelope := fleet.Envelope{From: n.options.Self.ID, Boot: n.options.Boot, Submit: submit}
	if ps.mine {
		p.AskedOf(n.options.Self)
		n.submitted(now, envelope)
		return
	}
	to, ok := n.placerOf(ps)
	if !ok {
		n.noPlacer(now, p)
		return
	}
	p.AskedOf(to)
	n.send(to, envelope)
}

// noPlacer lets a request wait a while for a pool without a placer.
func (n *Node) noPlacer(now time.Time, p *waiting.Request) {
	if !p.NoPlacer(now, n.options.Timing.NoPlacer) {
		return
	}
	n.pending.Remove(p.Request.ID)
	n.emit(Reject{RequestID: p.Request.ID, Refusal: fleet.Refusal{RequestID: p.Request.ID, Reason: fleet.ReasonNoPlacer, RetryAfter: retryNoEndpoint}})
}

func (n *Node) withdraw(now time.Time, p *waiting.Request) {
	ps := n.pools[p.Pool]
	if ps == nil || p.Asked.ID == "" {
		return
	}
	if ps.mine {
		n.run(now, ps, ps.placer.Cancel(now, p.Request.ID))
		return
	}
	n.send(p.Asked, fleet.Envelope{Withdraw: &fleet.Withdraw{Pool: p.Pool, RequestID: p.Request.ID}})
}

// tickPending refuses what has expired and asks again for what got no answer.
func (n *Node) tickPending(now time.Time) {
	for _, p := range n.pending.Sorted() {
		if p.Request.Expired(now) {
			n.pending.Remove(p.Request.ID)
			n.withdraw(now, p)
			n.emit(Reject{RequestID: p.Request.ID, Refusal: fleet.Refusal{RequestID: p.Request.ID, Reason: fleet.ReasonExpired}})
			continue
		}
		if !p.AskDue(now) {
			continue
		}
		if n.placeable(p) {
			n.ask(now, p)
			continue
		}
		n.route(now, p)
	}
}

// placeable tells whether the pool chosen for a request can still be asked.
func (n *Node) placeable(p *waiting.Request) bool {
	ps := n.pools[p.Pool]
	if ps == nil {
		return false
	}
	if ps.own {
		return true
	}
	r := n.remotes[ps.pool.Hall]
	_, ok := r.Placer(ps.pool.Name)
	return ok && !r.Cut()
}

// resubmitPool asks a pool's new placer for everything that waits for the pool.
func (n *Node) resubmitPool(now time.Time, ps *poolState) {
	for _, p := range n.pending.Sorted() {
		if p.Pool == ps.pool.Name {
			n.ask(now, p)
		}
	}
}

// granted takes a ticket, unless the request needs none or the grant is too old to be used.
func (n *Node) granted(now time.Time, e fleet.Envelope) {
	g := e.Granted
	p, awaited := n.pending.FindAttempt(g.Ticket.RequestID, g.Attempt)
	verdict := waiting.Judge(waiting.Grant{
		InUse: n.uses.Has(g.Ticket.ID), Awaited: awaited, Age: n.stamp(now) - g.Stamp, Limit: n.options.Timing.GrantAge,
		AcceptOld: n.options.Defects.AcceptOldGrants,
	})
	switch verdict {
	case waiting.Return:
		n.returnTo(e, g.Ticket)
	case waiting.TooOld:
		p.Hurry(now)
	case waiting.Use:
		var request fleet.Request
		if p != nil {
			request = p.Request
		}
		n.pending.Remove(g.Ticket.RequestID)
		n.deliver(now, g.Ticket, request)
	case waiting.Repeated:
	}
}

func (n *Node) returnTo(e fleet.Envelope, t fleet.Ticket) {
	if p := n.entries[e.From]; p != nil {
		n.send(p.instance, fleet.Envelope{Returned: &fleet.Returned{Pool: t.Pool, Tickets: []string{t.ID}}})
		return
	}
	if ps := n.pools[t.Pool]; ps != nil {
		if to, ok := n.placerOf(ps); ok {
			n.send(to, fleet.Envelope{Returned: &fleet.Returned{Pool: t.Pool, Tickets: []string{t.ID}}})
		}
	}
}

func (n *Node) deliver(now time.Time, t fleet.Ticket, r fleet.Request) {
	n.uses.Add(t, r)
	n.emit(Deliver{RequestID: t.RequestID, Ticket: t, NotAfter: now.Add(t.StartWithin)})
}

// refused takes a placer's refusal, or its answer that another instance is the placer.
func (n *Node) refused(now time.Time, e fleet.Envelope) {
	p, ok := n.pending.FindAttempt(e.Refused.Refusal.RequestID, e.Refused.Attempt)
	if !ok || p.Pool != e.Refused.Pool {
		return
	}
	if e.Refused.NotPlacer {
		p.Elsewhere(now)
		return
	}
	n.pending.Remove(p.Request.ID)
	n.emit(Reject{RequestID: p.Request.ID, Refusal: e.Refused.Refusal})
}

func (n *Node) declareUses(ps *poolState, to fleet.Instance) {
	n.send(to, fleet.Envelope{Redeclare: &fleet.Redeclare{Pool: ps.pool.Name, Uses: n.uses.OfPool(ps.pool.Name)}})
}

// tickReconfirm tells the placers now and then which tickets are in use, so that a lost return does no lasting harm.
func (n *Node) tickReconfirm(now time.Time) {
	if now.Sub(n.redo) < n.options.Timing.Reconfirm {
		return
	}
	n.redo = now
	for _, ps := range n.order {
		if ps.mine {
			n.run(now, ps, ps.placer.Reconfirm(now, n.options.Self.ID, n.uses.OfPool(ps.pool.Name), n.tooOld()))
			continue
		}
		to, ok := n.placerOf(ps)
		if ok && ps.dealt {
			n.declareUses(ps, to)
		}
	}
}

// tooOld is the age at which a grant that its entry does not know cannot be on its way any more.
func (n *Node) tooOld() time.Duration {
	return oldGrants * (n.options.Timing.GrantAge + n.options.Placement.StartWithin)
}
