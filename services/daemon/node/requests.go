// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/waiting"
)

const (
	// retryAfterStopping is the retry delay that callers get from a stopping instance; the next attempt goes to another instance.
	retryAfterStopping = time.Second
	// retryAfterNoEndpoint is the retry delay that callers get if no endpoint or placer can take the request.
	retryAfterNoEndpoint = 2 * time.Second
	// lostGrantAgeFactor is multiplied by the sum of the maximum usable age of a grant and the time to start. A grant of at least this age that
	// its entry does not list as in use is released. A higher factor keeps a slot occupied longer after a ticket's return was lost.
	lostGrantAgeFactor = 2
)

// Submit accepts a caller's request. The result is a Deliver or a Reject effect of this or of a later call.
func (n *Node) Submit(now time.Time, r fleet.Request) []Effect {
	if n.leaving && r.Attempt == 0 {
		n.emit(Reject{RequestID: r.ID, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonStopping, RetryAfter: retryAfterStopping}})
		return n.takeEffects()
	}
	r.Entry = n.options.Self.ID
	r.Hall = n.options.Self.Hall
	p := &waiting.Request{Request: r}
	if rule, ok := n.config.Catalog().MatchRule(now, r); ok {
		if rule.Refuse {
			n.emit(Reject{RequestID: r.ID, Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonRule}})
			return n.takeEffects()
		}
		p.Halls = rule.Halls
		p.Request.Priority = rule.Priority
	}
	n.pending.Add(p)
	n.route(now, p)
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

// Withdraw withdraws a request whose caller disconnected before a ticket arrived.
func (n *Node) Withdraw(now time.Time, requestID string) []Effect {
	p, ok := n.pending.Find(requestID)
	if !ok {
		return nil
	}
	n.pending.Remove(requestID)
	n.withdrawFromPlacer(now, p)
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

// ReturnTicket returns a ticket to its placer after its request has ended on the endpoint or was never started.
func (n *Node) ReturnTicket(now time.Time, ticketID string) []Effect {
	t, ok := n.ticketUses.Remove(ticketID)
	if !ok {
		return nil
	}
	n.returnToPlacer(now, t)
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

func (n *Node) returnToPlacer(now time.Time, t fleet.Ticket) {
	ps := n.pools[t.Pool]
	if ps == nil {
		return
	}
	if ps.isPlacer {
		n.applyPlacerEffects(now, ps, ps.placer.ReturnTicket(now, t.ID))
		return
	}
	if to, ok := n.placerOf(ps); ok {
		n.send(to, fleet.Envelope{Returned: &fleet.Returned{Pool: t.Pool, Tickets: []string{t.ID}}})
	}
}

// placerOf returns the last known placer of a pool, other than this node.
func (n *Node) placerOf(ps *poolState) (fleet.Instance, bool) {
	if !ps.inOwnHall {
		r := n.remoteHalls[ps.pool.Hall]
		if r == nil {
			return fleet.Instance{}, false
		}
		return r.Placer(ps.pool.Name)
	}
	if m := n.members.Member(ps.placerID); m != nil && m.Alive {
		return m.Instance, true
	}
	return fleet.Instance{}, false
}

// route chooses a pool for a waiting request and submits the request to the pool's placer.
func (n *Node) route(now time.Time, p *waiting.Request) {
	name, ok := n.router.Choose(now, p.Request, p.Halls)
	if !ok {
		n.pending.Remove(p.Request.ID)
		n.emit(Reject{RequestID: p.Request.ID, Refusal: fleet.Refusal{RequestID: p.Request.ID, Reason: fleet.ReasonNoEndpoint, RetryAfter: retryAfterNoEndpoint}})
		return
	}
	if p.Pool != "" && p.Pool != name {
		n.withdrawFromPlacer(now, p)
	}
	p.Pool = name
	n.submitRequest(now, p)
}

// submitRequest submits a waiting request to its pool's placer, if there is one.
func (n *Node) submitRequest(now time.Time, p *waiting.Request) {
	ps := n.pools[p.Pool]
	ps.ticketRequested = true
	p.MarkSubmitted(now, n.options.Timing.Resubmit)
	submit := &fleet.Submit{Pool: p.Pool, Request: p.Request, Reply: n.options.Self.Address, Stamp: n.stamp(now)}
	if !p.Request.Deadline.IsZero() {
		submit.Wait = p.Request.Deadline.Sub(now)
	}
	envelope := fleet.Envelope{From: n.options.Self.ID, Boot: n.options.Boot, Submit: submit}
	if ps.isPlacer {
		p.SetPlacer(n.options.Self)
		n.handleSubmit(now, envelope)
		return
	}
	to, ok := n.placerOf(ps)
	if !ok {
		n.waitForPlacer(now, p)
		return
	}
	p.SetPlacer(to)
	n.send(to, envelope)
}

// waitForPlacer rejects a request whose pool has had no placer for Timing.MaxPlacerWait; until then the request waits.
func (n *Node) waitForPlacer(now time.Time, p *waiting.Request) {
	if !p.RecordNoPlacer(now, n.options.Timing.MaxPlacerWait) {
		return
	}
	n.pending.Remove(p.Request.ID)
	n.emit(Reject{RequestID: p.Request.ID, Refusal: fleet.Refusal{RequestID: p.Request.ID, Reason: fleet.ReasonNoPlacer, RetryAfter: retryAfterNoEndpoint}})
}

func (n *Node) withdrawFromPlacer(now time.Time, p *waiting.Request) {
	ps := n.pools[p.Pool]
	if ps == nil || p.Placer.ID == "" {
		return
	}
	if ps.isPlacer {
		n.applyPlacerEffects(now, ps, ps.placer.Withdraw(now, p.Request.ID))
		return
	}
	n.send(p.Placer, fleet.Envelope{Withdraw: &fleet.Withdraw{Pool: p.Pool, RequestID: p.Request.ID}})
}

// tickPending rejects the waiting requests that have expired and resubmits the unanswered ones.
func (n *Node) tickPending(now time.Time) {
	for _, p := range n.pending.Sorted() {
		if p.Request.Expired(now) {
			n.pending.Remove(p.Request.ID)
			n.withdrawFromPlacer(now, p)
			n.emit(Reject{RequestID: p.Request.ID, Refusal: fleet.Refusal{RequestID: p.Request.ID, Reason: fleet.ReasonExpired}})
			continue
		}
		if !p.SubmitDue(now) {
			continue
		}
		if n.placerReachable(p) {
			n.submitRequest(now, p)
			continue
		}
		n.route(now, p)
	}
}

// placerReachable reports whether the placer of the pool chosen for a request can still be reached.
func (n *Node) placerReachable(p *waiting.Request) bool {
	ps := n.pools[p.Pool]
	if ps == nil {
		return false
	}
	if ps.inOwnHall {
		return true
	}
	r := n.remoteHalls[ps.pool.Hall]
	_, ok := r.Placer(ps.pool.Name)
	return ok && !r.CutOff()
}

// resubmitPool submits all requests that wait for a pool to its new placer.
func (n *Node) resubmitPool(now time.Time, ps *poolState) {
	for _, p := range n.pending.Sorted() {
		if p.Pool == ps.pool.Name {
			n.submitRequest(now, p)
		}
	}
}

// handleGranted processes a grant. The ticket is used unless it is in use already, its request no longer waits, or the grant is
// too old.
func (n *Node) handleGranted(now time.Time, e fleet.Envelope) {
	g := e.Granted
	p, awaited := n.pending.FindAttempt(g.Ticket.RequestID, g.Attempt)
	verdict := waiting.DecideGrant(waiting.GrantState{
		InUse: n.ticketUses.Has(g.Ticket.ID), Awaited: awaited, Age: n.stamp(now) - g.Stamp, Limit: n.options.Timing.GrantAge,
		AcceptOld: n.options.Defects.AcceptOldGrants,
	})
	switch verdict {
	case waiting.Return:
		n.returnUnusedGrant(e, g.Ticket)
	case waiting.TooOld:
		p.ResubmitNow(now)
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

func (n *Node) returnUnusedGrant(e fleet.Envelope, t fleet.Ticket) {
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
	n.ticketUses.Add(t, r)
	n.emit(Deliver{RequestID: t.RequestID, Ticket: t, NotAfter: now.Add(t.StartWithin)})
}

// handleRefused processes a placer's refusal, or its answer that another instance is the placer.
func (n *Node) handleRefused(now time.Time, e fleet.Envelope) {
	p, ok := n.pending.FindAttempt(e.Refused.Refusal.RequestID, e.Refused.Attempt)
	if !ok || p.Pool != e.Refused.Pool {
		return
	}
	if e.Refused.NotPlacer {
		p.RecordWrongPlacer(now)
		return
	}
	n.pending.Remove(p.Request.ID)
	n.emit(Reject{RequestID: p.Request.ID, Refusal: e.Refused.Refusal})
}

func (n *Node) reportTicketsInUse(ps *poolState, to fleet.Instance) {
	n.send(to, fleet.Envelope{TicketReport: &fleet.TicketReport{Pool: ps.pool.Name, Uses: n.ticketUses.OfPool(ps.pool.Name)}})
}

// tickTicketReports sends the placers the tickets in use each Timing.TicketReportInterval, so that tickets whose return was lost are freed.
func (n *Node) tickTicketReports(now time.Time) {
	if now.Sub(n.ticketsReportedAt) < n.options.Timing.TicketReportInterval {
		return
	}
	n.ticketsReportedAt = now
	for _, ps := range n.poolList {
		if ps.isPlacer {
			n.applyPlacerEffects(now, ps, ps.placer.ReconcileTickets(now, n.options.Self.ID, n.ticketUses.OfPool(ps.pool.Name), n.grantLossAge()))
			continue
		}
		to, ok := n.placerOf(ps)
		if ok && ps.ticketRequested {
			n.reportTicketsInUse(ps, to)
		}
	}
}

// grantLossAge returns the age from which a grant that its entry does not list cannot still be in transit.
func (n *Node) grantLossAge() time.Duration {
	return lostGrantAgeFactor * (n.options.Timing.GrantAge + n.options.Placement.StartWithin)
}
