// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// stepDown lets a pool go to another placer.
func (n *Node) stepDown(now time.Time, ps *poolState, to fleet.Instance, cause string) {
	n.note(now, fleet.Event{Kind: fleet.EventRelease, Pool: ps.pool.Name, Other: to.ID, Fence: ps.term, Cause: cause})
	n.letGo(now, ps, to)
	ps.placedBy = to.ID
	n.declareUses(ps, to)
	n.resubmitPool(now, ps)
}

// handOver gives a pool to a successor before a planned stop.
func (n *Node) handOver(now time.Time, ps *poolState) {
	next := ring.Best(ps.pool.Name, n.members.Candidates(true))
	m := n.members.Member(next)
	if m == nil {
		return
	}
	n.note(now, fleet.Event{Kind: fleet.EventRelease, Pool: ps.pool.Name, Other: next, Fence: ps.term, Cause: "a planned stop"})
	n.letGo(now, ps, m.Instance)
	ps.placedBy = ""
}

// letGo sends the tickets to the successor and the waiting requests back to their entries.
func (n *Node) letGo(now time.Time, ps *poolState, to fleet.Instance) {
	n.send(to, fleet.Envelope{Release: &fleet.Release{Pool: ps.pool.Name, Term: ps.term, Uses: ps.placer.Uses()}})
	effects := ps.placer.RefuseAll(now, fleet.ReasonNoPlacer, 0)
	ps.mine = false
	n.run(now, ps, effects)
	for _, e := range ps.waiting {
		n.elsewhere(e, ps.pool.Name)
	}
	ps.waiting = nil
	ps.placer = nil
	for _, held := range ps.permits {
		n.permitDone(now, ps.pool.Name, held, true)
	}
	clear(ps.permits)
	if len(ps.unfenced()) > 0 {
		n.lease.Forget(ps.pool.Name)
		n.emit(ReleaseOwner{Pool: ps.pool.Name})
	}
}

// released takes a pool that its placer hands over, or the tickets of one who stepped down.
func (n *Node) released(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Release.Pool]
	if ps == nil || !ps.own {
		return
	}
	ps.maxTerm = max(ps.maxTerm, e.Release.Term)
	if ps.mine {
		for _, u := range e.Release.Uses {
			n.run(now, ps, ps.placer.RestoreTicket(now, u.Ticket, u.Request))
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
		m.Held = slices.DeleteFunc(m.Held, func(h fleet.HeldPool) bool { return h.Pool == ps.pool.Name })
	}
	ps.handedBy = FormerOwner{ID: e.From, Boot: e.Boot}
	n.takeOver(now, ps, uses, "handed over by "+e.From)
}
