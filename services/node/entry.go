// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
)

// pendingRequest is a request of this entry that waits for a ticket.
type pendingRequest struct {
	request  fleet.Request
	halls    []string
	pool     string
	asked    fleet.Instance
	since    time.Time
	resendAt time.Time
	lostAt   time.Time
}

// Submit takes a caller's request; the answer is a Deliver or a Reject, now or later.
func (n *Node) Submit(now time.Time, r fleet.Request) []Effect {
	if n.leaving && r.Attempt == 0 {
		n.emit(Reject{RequestID: r.ID, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonStopping, RetryAfter: time.Second}})
		return n.take()
	}
	r.Entry = n.options.Self.ID
	r.Hall = n.options.Self.Hall
	p := &pendingRequest{request: r, since: now}
	if rule, ok := n.config.Catalog().Decide(now, r); ok {
		if rule.Refuse {
			n.emit(Reject{RequestID: r.ID, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonRule}})
			return n.take()
		}
		p.halls = rule.Halls
		p.request.Priority = rule.Priority
	}
	n.pending[r.ID] = p
	n.route(now, p)
	n.spend(now)
	return n.take()
}

// Abandon withdraws a request whose caller has gone before a ticket came.
func (n *Node) Abandon(now time.Time, requestID string) []Effect {
	p, ok := n.pending[requestID]
	if !ok {
		return nil
	}
	delete(n.pending, requestID)
	n.withdraw(now, p)
	n.spend(now)
	return n.take()
}

// Finish gives a ticket back after its request has ended on the endpoint, or never started.
func (n *Node) Finish(now time.Time, ticketID string) []Effect {
	u, ok := n.uses[ticketID]
	if !ok {
		return nil
	}
	delete(n.uses, ticketID)
	n.giveBack(now, u.Ticket)
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
	if m := n.members.Member(ps.holder); m != nil && m.Alive {
		return m.Instance, true
	}
	return fleet.Instance{}, false
}

// route chooses a pool for a waiting request and asks its placer.
func (n *Node) route(now time.Time, p *pendingRequest) {
	name, ok := n.router.Choose(now, p.request, p.halls)
	if !ok {
		delete(n.pending, p.request.ID)
		n.emit(Reject{RequestID: p.request.ID, Refusal: fleet.Refusal{RequestID: p.request.ID, Reason: fleet.ReasonNoEndpoint, RetryAfter: 2 * time.Second}})
		return
	}
	if p.pool != "" && p.pool != name {
		n.withdraw(now, p)
	}
	p.pool = name
	n.ask(now, p)
}

// ask submits a waiting request to its pool's placer, if there is one.
func (n *Node) ask(now time.Time, p *pendingRequest) {
	ps := n.pools[p.pool]
	ps.dealt = true
	p.resendAt = now.Add(n.options.Timing.Resubmit)
	submit := &fleet.Submit{Pool: p.pool, Request: p.request, Reply: n.options.Self.Address, Stamp: n.stamp(now)}
	if !p.request.Deadline.IsZero() {
		submit.Wait = p.request.Deadline.Sub(now)
	}
	envelope := fleet.Envelope{From: n.options.Self.ID, Boot: n.options.Boot, Submit: submit}
	if ps.mine {
		p.lostAt = time.Time{}
		p.asked = n.options.Self
		n.submitted(now, envelope)
		return
	}
	to, ok := n.placerOf(ps)
	if !ok {
		n.noPlacer(now, p)
		return
	}
	p.lostAt = time.Time{}
	p.asked = to
	n.send(to, envelope)
}

// noPlacer lets a request wait a while for a pool without a placer.
func (n *Node) noPlacer(now time.Time, p *pendingRequest) {
	if p.lostAt.IsZero() {
		p.lostAt = now
	}
	if now.Sub(p.lostAt) < n.options.Timing.NoPlacer {
		return
	}
	delete(n.pending, p.request.ID)
	n.emit(Reject{RequestID: p.request.ID, Refusal: fleet.Refusal{RequestID: p.request.ID, Reason: fleet.ReasonNoPlacer, RetryAfter: 2 * time.Second}})
}

func (n *Node) withdraw(now time.Time, p *pendingRequest) {
	ps := n.pools[p.pool]
	if ps == nil || p.asked.ID == "" {
		return
	}
	if ps.mine {
		n.run(now, ps, ps.placer.Cancel(now, p.request.ID))
		return
	}
	n.send(p.asked, fleet.Envelope{Withdraw: &fleet.Withdraw{Pool: p.pool, RequestID: p.request.ID}})
}

// tickPending refuses what has expired and asks again for what got no answer.
func (n *Node) tickPending(now time.Time) {
	for _, p := range n.sortedPending() {
		if p.request.Expired(now) {
			delete(n.pending, p.request.ID)
			n.withdraw(now, p)
			n.emit(Reject{RequestID: p.request.ID, Refusal: fleet.Refusal{RequestID: p.request.ID, Reason: fleet.ReasonExpired}})
			continue
		}
		if now.Before(p.resendAt) {
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
func (n *Node) placeable(p *pendingRequest) bool {
	ps := n.pools[p.pool]
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

func (n *Node) sortedPending() []*pendingRequest {
	out := make([]*pendingRequest, 0, len(n.pending))
	for _, p := range n.pending {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *pendingRequest) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return out
}

// resubmitPool asks a pool's new placer for everything that waits for the pool.
func (n *Node) resubmitPool(now time.Time, ps *poolState) {
	for _, p := range n.sortedPending() {
		if p.pool == ps.pool.Name {
			n.ask(now, p)
		}
	}
}

// granted takes a ticket, unless the request needs none or the grant is too old to be used.
func (n *Node) granted(now time.Time, e fleet.Envelope) {
	g := e.Granted
	p, ok := n.pending[g.Ticket.RequestID]
	if _, used := n.uses[g.Ticket.ID]; used {
		return
	}
	if !ok || p.request.Attempt != g.Attempt {
		if !n.options.Defects.AcceptOldGrants {
			n.returnTo(e, g.Ticket)
			return
		}
	}
	age := n.stamp(now) - g.Stamp
	if age > n.options.Timing.GrantAge && !n.options.Defects.AcceptOldGrants {
		if ok {
			p.resendAt = now
		}
		return
	}
	var request fleet.Request
	if ok {
		request = p.request
	}
	delete(n.pending, g.Ticket.RequestID)
	n.deliver(now, g.Ticket, request)
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
	n.uses[t.ID] = fleet.TicketUse{Ticket: t, Request: r}
	n.emit(Deliver{RequestID: t.RequestID, Ticket: t, NotAfter: now.Add(t.StartWithin)})
}

// refused takes a placer's refusal, or its word that it is not the placer.
func (n *Node) refused(now time.Time, e fleet.Envelope) {
	p, ok := n.pending[e.Refused.Refusal.RequestID]
	if !ok || p.pool != e.Refused.Pool || e.Refused.Attempt != p.request.Attempt {
		return
	}
	if e.Refused.Elsewhere {
		p.resendAt = now.Add(elsewhereDelay)
		return
	}
	delete(n.pending, p.request.ID)
	n.emit(Reject{RequestID: p.request.ID, Refusal: e.Refused.Refusal})
}

const elsewhereDelay = 50 * time.Millisecond

// ownUses lists the tickets of a pool that this entry uses.
func (n *Node) ownUses(pool string) []fleet.TicketUse {
	var out []fleet.TicketUse
	for _, u := range n.uses {
		if u.Ticket.Pool == pool {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b fleet.TicketUse) int { return cmp.Compare(a.Ticket.ID, b.Ticket.ID) })
	return out
}

func (n *Node) declareUses(ps *poolState, to fleet.Instance) {
	n.send(to, fleet.Envelope{Redeclare: &fleet.Redeclare{Pool: ps.pool.Name, Uses: n.ownUses(ps.pool.Name)}})
}

// tickReconfirm tells the placers now and then which tickets are in use, so that a lost return does no lasting harm.
func (n *Node) tickReconfirm(now time.Time) {
	if now.Sub(n.redo) < n.options.Timing.Reconfirm {
		return
	}
	n.redo = now
	for _, ps := range n.order {
		if ps.mine {
			n.run(now, ps, ps.placer.Reconfirm(now, n.options.Self.ID, n.ownUses(ps.pool.Name), n.tooOld()))
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
	return 2 * (n.options.Timing.GrantAge + n.options.Placement.StartWithin)
}
