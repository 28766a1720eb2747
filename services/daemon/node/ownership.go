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

// evaluate decides whether to take over, keep or release a pool, and carries the decision out.
func (n *Node) evaluate(now time.Time, ps *poolState) {
	situation := ownership.Situation{
		Pool: ps.pool.Name, OwnClaim: ownership.Claim{Instance: n.options.Self.ID, Term: ps.term}, IsPlacer: ps.isPlacer,
		Leaving: n.leaving, StartingUp: now.Sub(n.started) < n.options.Membership.TakeoverDelay,
		Candidates: func() []string { return n.members.Candidates(n.leaving) },
	}
	situation.Announced, situation.HasAnnounced = n.announced(ps)
	announced := n.members.Member(situation.Announced.Instance)
	switch ownership.Decide(situation) {
	case ownership.Keep:
		n.sendTakeoverOrders(now, ps)
	case ownership.StepDown:
		n.stepDown(now, ps, announced.Instance, "another instance holds the pool under a higher term")
	case ownership.Follow:
		n.setPlacer(now, ps, announced)
	case ownership.TakeOver:
		n.setPlacer(now, ps, nil)
		n.takeOver(now, ps, nil, "no live instance of the hall holds the pool")
	}
}

// announced returns the highest claim on the pool among the live members.
func (n *Node) announced(ps *poolState) (ownership.Claim, bool) {
	var claims []ownership.Claim
	for _, m := range n.members.Alive() {
		if term := heldTerm(m, ps.pool.Name); term != 0 {
			claims = append(claims, ownership.Claim{Instance: m.Instance.ID, Term: term})
		}
	}
	return ownership.HighestClaim(ps.pool.Name, claims)
}

// heldTerm returns the term under which a member announces the pool, or zero.
func heldTerm(m *membership.Member, pool string) uint64 {
	for _, h := range m.HeldPools {
		if h.Pool == pool {
			return h.Term
		}
	}
	return 0
}

// handleHeldPools processes the pools and terms that a member announces.
func (n *Node) handleHeldPools(now time.Time, m *membership.Member) {
	for _, h := range m.HeldPools {
		if ps := n.pools[h.Pool]; ps != nil {
			ps.maxTerm = max(ps.maxTerm, h.Term)
			if ps.inOwnHall {
				n.evaluate(now, ps)
			}
		}
	}
}

// setPlacer stores a pool's new placer, reports the tickets in use to it and resubmits the waiting requests.
func (n *Node) setPlacer(now time.Time, ps *poolState, m *membership.Member) {
	id := ""
	if m != nil {
		id = m.Instance.ID
	}
	if id == ps.placerID {
		return
	}
	ps.placerID = id
	if id == "" {
		return
	}
	n.reportTicketsInUse(ps, m.Instance)
	n.resubmitPool(now, ps)
}

// takeOver makes this node the pool's placer under a new term.
func (n *Node) takeOver(now time.Time, ps *poolState, handedOverUses []fleet.TicketUse, cause string) {
	ps.isPlacer = true
	ps.maxTerm = ownership.NextTerm(ps.maxTerm, n.options.Boot)
	ps.term = ps.maxTerm
	ps.placerID = n.options.Self.ID
	ps.takeover = ownership.NewTakeover(now, ps.pool.Endpoints, n.options.Timing.TakeoverRetry, n.options.Timing.InspectionInterval)
	ps.handedOverUses = handedOverUses
	if handedOverUses == nil {
		ps.handedOverBy = FormerOwner{}
	}
	ps.succession = lease.UnknownSuccession()
	if n.options.Defects.SkipFreeze {
		ps.succession = ps.succession.Unfrozen()
	}
	options := n.options.Placement
	options.OrderMargin = n.options.Timing.LeaseMargin
	options.EvictInUse = n.options.Defects.UnloadWithoutTickets
	options.Classes = n.config.Catalog().EffectiveClasses(n.options.Classes)
	ps.placer = placement.NewPlacer(ps.pool.Name, n.options.Self.ID, ps.pool.Endpoints, options)
	ps.placer.SetEpoch(n.options.Boot, ps.term)
	applyCatalog(ps.placer, n.config.Catalog())
	ps.publisher = routing.NewPublisher(ps.term)
	clear(ps.permitsInUse)
	n.recordEvent(now, fleet.Event{Kind: fleet.EventTakeover, Pool: ps.pool.Name, Fence: ps.term, Cause: cause})
	for _, e := range ps.unfenced() {
		ps.placer.AllowOrders(e.Name, time.Time{})
	}
	n.lease.RemovePool(ps.pool.Name)
	n.sendTakeoverOrders(now, ps)
	n.heartbeatAll(now)
	n.resubmitPool(now, ps)
}

// sendTakeoverOrders sends takeover orders to the endpoints that have not answered, and stops holding requests back after
// ownership.MaxRequestHold.
func (n *Node) sendTakeoverOrders(now time.Time, ps *poolState) {
	for _, e := range ps.takeover.OrdersDue(now) {
		n.emit(TakeOverEndpoint{Pool: ps.pool.Name, Term: ps.term, Endpoint: e})
	}
	if ps.takeover.Age(now) > ownership.MaxRequestHold {
		n.flushWaiting(now, ps)
	}
}

// TakeoverResult is an endpoint's answer to a takeover.
type TakeoverResult struct {
	Pool       string
	Term       uint64
	OK         bool
	Refused    bool
	Fence      uint64
	Inspection placement.Inspection
}

// HandleTakeoverResult processes an endpoint's answer to a takeover order.
func (n *Node) HandleTakeoverResult(now time.Time, r TakeoverResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.isPlacer || ps.term != r.Term || ps.takeover.IsTakenOver(r.Inspection.Endpoint) {
		return nil
	}
	if !r.OK {
		if r.Refused {
			n.recordEvent(now, fleet.Event{Kind: fleet.EventOrderRefused, Pool: r.Pool, Endpoint: r.Inspection.Endpoint, Fence: r.Fence, Cause: "the endpoint obeys a higher fence"})
		}
		return n.takeEffects()
	}
	endpoint := r.Inspection.Endpoint
	ps.takeover.MarkTakenOver(now, endpoint)
	frozen := now
	if ps.succession.Frozen() && n.isUnfenced(ps, endpoint) {
		frozen = now.Add(lease.Forever)
	}
	n.applyPlacerEffects(now, ps, ps.placer.TakeOverEndpoint(now, r.Inspection, r.Fence, frozen))
	for _, u := range ps.handedOverUses {
		if u.Ticket.Endpoint == endpoint {
			n.applyPlacerEffects(now, ps, ps.placer.RestoreTicket(now, u.Ticket, u.Request))
		}
	}
	for _, u := range n.ticketUses.OfPool(ps.pool.Name) {
		if u.Ticket.Endpoint == endpoint {
			n.applyPlacerEffects(now, ps, ps.placer.RestoreTicket(now, u.Ticket, u.Request))
		}
	}
	n.applyDrains(now, ps)
	if ps.takeover.AllAnswered() {
		n.flushWaiting(now, ps)
	}
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

func (n *Node) isUnfenced(ps *poolState, endpoint string) bool {
	return slices.ContainsFunc(ps.unfenced(), func(e fleet.Endpoint) bool { return e.Name == endpoint })
}

// flushWaiting submits the requests that arrived during the takeover of the pool.
func (n *Node) flushWaiting(now time.Time, ps *poolState) {
	heldRequests := ps.heldRequests
	ps.heldRequests = nil
	for _, e := range heldRequests {
		n.submitToPlacer(now, ps, e)
	}
}
