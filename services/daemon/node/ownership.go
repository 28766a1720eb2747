// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
	"github.com/shelfledge/shelfledge/services/daemon/node/ownership"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// evaluate decides whether to take a pool over, to keep it or to let it go.
func (n *Node) evaluate(now time.Time, ps *poolState) {
	situation := ownership.Situation{
		Pool: ps.pool.Name, Own: ownership.Claim{Instance: n.options.Self.ID, Term: ps.term}, Mine: ps.mine,
		Leaving: n.leaving, Listening: now.Sub(n.started) < n.options.Membership.Settle,
		Candidates: func() []string { return n.members.Candidates(n.leaving) },
	}
	situation.Announced, situation.Claimed = n.announced(ps)
	announced := n.members.Member(situation.Announced.Instance)
	switch ownership.Decide(situation) {
	case ownership.Keep:
		n.retryTakes(now, ps)
	case ownership.StepDown:
		n.stepDown(now, ps, announced.Instance, "another instance holds the pool under a higher term")
	case ownership.Follow:
		n.setPlacer(now, ps, announced)
	case ownership.TakeOver:
		n.setPlacer(now, ps, nil)
		n.takeOver(now, ps, nil, "no live instance of the hall holds the pool")
	}
}

// announced finds the highest claim of the live members on the pool.
func (n *Node) announced(ps *poolState) (ownership.Claim, bool) {
	var claims []ownership.Claim
	for _, m := range n.members.Alive() {
		if term := heldTerm(m, ps.pool.Name); term != 0 {
			claims = append(claims, ownership.Claim{Instance: m.Instance.ID, Term: term})
		}
	}
	return ownership.Highest(ps.pool.Name, claims)
}

// heldTerm gives the term under which a member announces the pool, or zero.
func heldTerm(m *membership.Member, pool string) uint64 {
	for _, h := range m.Held {
		if h.Pool == pool {
			return h.Term
		}
	}
	return 0
}

// learnHeld notes the terms that a member announces.
func (n *Node) learnHeld(now time.Time, m *membership.Member) {
	for _, h := range m.Held {
		if ps := n.pools[h.Pool]; ps != nil {
			ps.maxTerm = max(ps.maxTerm, h.Term)
			if ps.own {
				n.evaluate(now, ps)
			}
		}
	}
}

// setPlacer follows a change of placer: tickets are declared to it and waiting requests asked for anew.
func (n *Node) setPlacer(now time.Time, ps *poolState, m *membership.Member) {
	id := ""
	if m != nil {
		id = m.Instance.ID
	}
	if id == ps.placedBy {
		return
	}
	ps.placedBy = id
	if id == "" {
		return
	}
	n.declareUses(ps, m.Instance)
	n.resubmitPool(now, ps)
}

// takeOver makes the node the pool's placer under a new term.
func (n *Node) takeOver(now time.Time, ps *poolState, handed []fleet.TicketUse, cause string) {
	ps.mine = true
	ps.maxTerm = ownership.NextTerm(ps.maxTerm, n.options.Boot)
	ps.term = ps.maxTerm
	ps.placedBy = n.options.Self.ID
	ps.takeover = ownership.NewTakeover(now, ps.pool.Endpoints, n.options.Timing.TakeRetry, n.options.Timing.Inspect)
	ps.handed = handed
	if handed == nil {
		ps.handedBy = FormerOwner{}
	}
	ps.former = lease.Unknown()
	if n.options.Defects.SkipFreeze {
		ps.former = ps.former.Unfrozen()
	}
	options := n.options.Placement
	options.OrderMargin = n.options.Timing.LeaseMargin
	options.EvictInUse = n.options.Defects.UnloadWithoutTickets
	options.Classes = n.config.Catalog().EffectiveClasses(n.options.Classes)
	ps.placer = placement.NewPlacer(ps.pool.Name, n.options.Self.ID, ps.pool.Endpoints, options)
	ps.placer.SetEpoch(n.options.Boot, ps.term)
	applyCatalog(ps.placer, n.config.Catalog())
	ps.publisher = routing.NewPublisher(ps.term)
	clear(ps.permits)
	n.note(now, fleet.Event{Kind: fleet.EventTakeover, Pool: ps.pool.Name, Fence: ps.term, Cause: cause})
	for _, e := range ps.unfenced() {
		ps.placer.AllowOrders(e.Name, time.Time{})
	}
	n.lease.Forget(ps.pool.Name)
	n.retryTakes(now, ps)
	n.heartbeatAll(now)
	n.resubmitPool(now, ps)
}

// retryTakes asks the endpoints that have not answered yet.
func (n *Node) retryTakes(now time.Time, ps *poolState) {
	for _, e := range ps.takeover.TakesDue(now) {
		n.emit(Take{Pool: ps.pool.Name, Term: ps.term, Endpoint: e})
	}
	if ps.takeover.Age(now) > ownership.HoldRequests {
		n.flushWaiting(now, ps)
	}
}

// TakeResult is an endpoint's answer to a takeover.
type TakeResult struct {
	Pool       string
	Term       uint64
	OK         bool
	Refused    bool
	Fence      uint64
	Inspection placement.Inspection
}

// Taken takes an endpoint's answer to a takeover order.
func (n *Node) Taken(now time.Time, r TakeResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.mine || ps.term != r.Term || ps.takeover.Adopted(r.Inspection.Endpoint) {
		return nil
	}
	if !r.OK {
		if r.Refused {
			n.note(now, fleet.Event{Kind: fleet.EventOrderRefused, Pool: r.Pool, Endpoint: r.Inspection.Endpoint, Fence: r.Fence, Cause: "the endpoint obeys a higher fence"})
		}
		return n.take()
	}
	endpoint := r.Inspection.Endpoint
	ps.takeover.Adopt(now, endpoint)
	frozen := now
	if ps.former.Frozen() && n.isUnfenced(ps, endpoint) {
		frozen = now.Add(lease.Forever)
	}
	n.run(now, ps, ps.placer.Adopt(now, r.Inspection, r.Fence, frozen))
	for _, u := range ps.handed {
		if u.Ticket.Endpoint == endpoint {
			n.run(now, ps, ps.placer.Redeclare(now, u.Ticket, u.Request))
		}
	}
	for _, u := range n.uses.OfPool(ps.pool.Name) {
		if u.Ticket.Endpoint == endpoint {
			n.run(now, ps, ps.placer.Redeclare(now, u.Ticket, u.Request))
		}
	}
	n.applyDrains(now, ps)
	if ps.takeover.Answered() {
		n.flushWaiting(now, ps)
	}
	n.spend(now)
	return n.take()
}

func (n *Node) isUnfenced(ps *poolState, endpoint string) bool {
	return slices.ContainsFunc(ps.unfenced(), func(e fleet.Endpoint) bool { return e.Name == endpoint })
}

// flushWaiting submits what came while the pool was being taken over.
func (n *Node) flushWaiting(now time.Time, ps *poolState) {
	waiting := ps.waiting
	ps.waiting = nil
	for _, e := range waiting {
		n.place(now, ps, e)
	}
}
