// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// stepDown releases a pool to another instance that is its placer.
func (n *Node) stepDown(now time.Time, ps *poolState, to fleet.Instance, cause string) {
	n.recordEvent(now, fleet.Event{Kind: fleet.EventRelease, Pool: ps.pool.Name, Other: to.ID, Fence: ps.term, Cause: cause})
	n.releasePool(now, ps, to)
	ps.placerID = to.ID
	n.reportTicketsInUse(ps, to)
	n.resubmitPool(now, ps)
}

// handOver releases a pool to the best remaining candidate before a planned stop.
func (n *Node) handOver(now time.Time, ps *poolState) {
	next := ring.Best(ps.pool.Name, n.members.Candidates(true))
	m := n.members.Member(next)
	if m == nil {
		return
	}
	n.recordEvent(now, fleet.Event{Kind: fleet.EventRelease, Pool: ps.pool.Name, Other: next, Fence: ps.term, Cause: "a planned stop"})
	n.releasePool(now, ps, m.Instance)
	ps.placerID = ""
}

// releasePool sends the tickets in use to the successor, refers the waiting requests back to their entries and drops the placer.
func (n *Node) releasePool(now time.Time, ps *poolState, to fleet.Instance) {
	n.send(to, fleet.Envelope{Release: &fleet.Release{Pool: ps.pool.Name, Term: ps.term, Uses: ps.placer.TicketsInUse()}})
	effects := ps.placer.RefuseAll(now, fleet.ReasonNoPlacer, 0)
	ps.isPlacer = false
	n.applyPlacerEffects(now, ps, effects)
	for _, e := range ps.heldRequests {
		n.replyNotPlacer(e, ps.pool.Name)
	}
	ps.heldRequests = nil
	ps.placer = nil
	for _, held := range ps.permitsInUse {
		n.permitDone(now, ps.pool.Name, held, true)
	}
	clear(ps.permitsInUse)
	if len(ps.unfenced()) > 0 {
		n.lease.RemovePool(ps.pool.Name)
		n.emit(ReleaseOwner{Pool: ps.pool.Name})
	}
}

// handleRelease takes over a pool that its placer hands over. If this node is the pool's placer already, handleRelease adds the
// tickets of the placer that stepped down.
func (n *Node) handleRelease(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Release.Pool]
	if ps == nil || !ps.inOwnHall {
		return
	}
	ps.maxTerm = max(ps.maxTerm, e.Release.Term)
	if ps.isPlacer {
		for _, u := range e.Release.Uses {
			n.applyPlacerEffects(now, ps, ps.placer.RestoreTicket(now, u.Ticket, u.Request))
		}
		return
	}
	if n.leaving || e.Release.Term < ps.maxTerm {
		return
	}
	uses := e.Release.Uses
	if uses == nil {
		uses = []fleet.TicketUse{}
	}
	if m := n.members.Member(e.From); m != nil {
		m.HeldPools = slices.DeleteFunc(m.HeldPools, func(h fleet.HeldPool) bool { return h.Pool == ps.pool.Name })
	}
	ps.handedOverBy = FormerOwner{ID: e.From, Boot: e.Boot}
	n.takeOver(now, ps, uses, "handed over by "+e.From)
}
