// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/digest"
)

// speaker finds the instance that speaks for this hall.
func (n *Node) speaker() (fleet.Instance, bool) {
	id := digest.Speaker(n.options.Self.Hall, n.members.Candidates(n.leaving))
	if id == n.options.Self.ID {
		return n.options.Self, true
	}
	if m := n.members.Member(id); m != nil {
		return m.Instance, true
	}
	return fleet.Instance{}, false
}

func (n *Node) isSpeaker() bool {
	s, ok := n.speaker()
	return ok && s.ID == n.options.Self.ID
}

// learnPools takes the pools' summaries that a member of the hall carries.
func (n *Node) learnPools(now time.Time, hb *fleet.Heartbeat) {
	for _, s := range hb.Pools {
		ps := n.pools[s.Pool]
		if ps == nil || ps.mine {
			continue
		}
		ps.gap = !n.router.Learn(now, s)
	}
}

// sendDigests tells the other halls' speakers about this hall.
func (n *Node) sendDigests(now time.Time) {
	n.judgeCuts(now)
	news := n.news()
	if !n.digests.Due(now, news, func() bool { return n.changing(now) }) || !n.isSpeaker() {
		return
	}
	full := n.digests.Sent(now, news)
	for _, hall := range n.options.Halls {
		if r := n.remotes[hall]; r != nil {
			n.sendDigest(now, r, full)
		}
	}
}

// changing tells whether the slots of a pool of this hall changed a short while ago.
func (n *Node) changing(now time.Time) bool {
	for _, ps := range n.order {
		if ps.own && n.router.Changing(now, ps.pool.Name) {
			return true
		}
	}
	return false
}

// news sums up what other halls must learn soon besides the slots.
func (n *Node) news() digest.News {
	out := digest.News{Revision: n.config.Revision(), Lowest: n.hallRevision()}
	for _, ps := range n.order {
		if p, ok := n.announcedPlacer(ps); ok && ps.own {
			out.Terms += p.Term
			out.Placed++
		}
	}
	return out
}

func (n *Node) sendDigest(now time.Time, r *digest.Hall, full bool) {
	d := &fleet.Digest{Hall: n.options.Self.Hall, Revision: n.hallRevision(), HighestRevision: n.config.Revision()}
	for _, ps := range n.order {
		if !ps.own {
			continue
		}
		if p, ok := n.announcedPlacer(ps); ok {
			d.Placers = append(d.Placers, p)
		}
		if s, ok := n.summaryOf(now, ps, full || r.Wants(ps.pool.Name)); ok {
			d.Pools = append(d.Pools, s)
		}
	}
	d.Speaker, d.Boot, d.Number = n.options.Self, n.options.Boot, n.digests.Number()
	if full || r.WantsInstances() {
		d.Instances = append(d.Instances, n.members.Known()...)
	}
	d.WantedSummaries = r.Gaps()
	for _, to := range r.Targets(n.list.Instances()) {
		n.send(to, fleet.Envelope{Digest: d})
	}
}

// summaryOf gives a pool's summary, from the placer if it is here, and else as it was heard.
func (n *Node) summaryOf(now time.Time, ps *poolState, whole bool) (fleet.PoolSummary, bool) {
	if !ps.mine {
		return n.router.Export(now, ps.pool.Name, whole)
	}
	if whole {
		return ps.publisher.Full(), true
	}
	return ps.publisher.Recent(now), true
}

// announcedPlacer gives what to tell other halls of a pool's placer, if one is known.
func (n *Node) announcedPlacer(ps *poolState) (fleet.PoolPlacer, bool) {
	if ps.mine {
		return fleet.PoolPlacer{Pool: ps.pool.Name, Term: ps.term, Instance: n.options.Self}, true
	}
	m := n.members.Member(ps.placedBy)
	if m == nil || !m.Alive {
		return fleet.PoolPlacer{}, false
	}
	return fleet.PoolPlacer{Pool: ps.pool.Name, Term: heldTerm(m, ps.pool.Name), Instance: m.Instance}, true
}

// digest takes another hall's account, and passes it on inside the hall if it came from outside. A late one says
// nothing of the hall as it is now, nor that it is in reach.
func (n *Node) digest(now time.Time, e fleet.Envelope) {
	d := e.Digest
	r := n.remotes[d.Hall]
	if r == nil || r.Late(d) {
		return
	}
	r.Take(now, d)
	for _, p := range d.Placers {
		if r.LearnPlacer(p) {
			n.placerMoved(now, p)
		}
	}
	for _, s := range d.Pools {
		r.SetGap(s.Pool, !n.router.Learn(now, s))
	}
	n.setCut(now, r, false)
	n.config.Hear(d.HighestRevision)
	n.answers.Reached(d.Speaker.ID, d.HighestRevision)
	if speaker, ok := r.Speaker(); ok && d.HighestRevision > n.config.Revision() {
		n.want(now, speaker)
	}
	if !d.Relayed {
		n.relay(*d)
	}
}

// placerMoved follows a change of placer in another hall.
func (n *Node) placerMoved(now time.Time, p fleet.PoolPlacer) {
	if ps := n.pools[p.Pool]; ps != nil {
		n.declareUses(ps, p.Instance)
		n.resubmitPool(now, ps)
	}
}

// relay passes another hall's digest on to the members of this one.
func (n *Node) relay(d fleet.Digest) {
	d.Relayed = true
	for _, m := range n.members.Alive() {
		n.send(m.Instance, fleet.Envelope{Digest: &d})
	}
}

// judgeCuts marks halls that have gone silent.
func (n *Node) judgeCuts(now time.Time) {
	for _, name := range n.options.Halls {
		r := n.remotes[name]
		if r != nil && r.FallsSilent(now, n.options.Timing.HallSilence) {
			n.setCut(now, r, true)
		}
	}
}

func (n *Node) setCut(now time.Time, r *digest.Hall, cut bool) {
	if !r.SetCut(cut) {
		return
	}
	n.router.SetCut(r.Name(), cut)
	kind, cause := fleet.EventThaw, "the hall is heard again"
	if cut {
		kind, cause = fleet.EventFreeze, "the hall has gone silent; requests stay in reachable halls"
	}
	n.note(now, fleet.Event{Kind: kind, Other: r.Name(), Cause: cause})
}

// hallRevision is the lowest revision in force among this hall's live instances.
func (n *Node) hallRevision() int64 {
	lowest := n.config.Revision()
	for _, m := range n.members.Alive() {
		lowest = min(lowest, m.Revision)
	}
	return lowest
}
