// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/digest"
)

// speaker returns the speaker of this hall: the instance that exchanges digests with other halls.
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

// storePoolSummaries stores the pool summaries in the heartbeat of a member of this hall.
func (n *Node) storePoolSummaries(now time.Time, hb *fleet.Heartbeat) {
	for _, s := range hb.Pools {
		ps := n.pools[s.Pool]
		if ps == nil || ps.isPlacer {
			continue
		}
		ps.summaryMissed = !n.router.ApplySummary(now, s)
	}
}

// sendDigests sends digests of this hall to the other halls' speakers, if they are due.
func (n *Node) sendDigests(now time.Time) {
	n.markSilentHalls(now)
	announcedState := n.announcedState()
	if !n.digestSchedule.Due(now, announcedState, func() bool { return n.slotsChanging(now) }) || !n.isSpeaker() {
		return
	}
	full := n.digestSchedule.RecordSent(now, announcedState)
	for _, hall := range n.options.Halls {
		if r := n.remoteHalls[hall]; r != nil {
			n.sendDigest(now, r, full)
		}
	}
}

// slotsChanging reports whether the slots of a pool of this hall changed recently.
func (n *Node) slotsChanging(now time.Time) bool {
	for _, ps := range n.poolList {
		if ps.inOwnHall && n.router.HasRecentChanges(now, ps.pool.Name) {
			return true
		}
	}
	return false
}

// announcedState returns the state, besides the slots, whose changes other halls must receive soon.
func (n *Node) announcedState() digest.AnnouncedState {
	out := digest.AnnouncedState{Revision: n.config.Revision(), LowestRevision: n.hallRevision()}
	for _, ps := range n.poolList {
		if p, ok := n.announcedPlacer(ps); ok && ps.inOwnHall {
			out.TermSum += p.Term
			out.PoolsWithPlacer++
		}
	}
	return out
}

func (n *Node) sendDigest(now time.Time, r *digest.Hall, full bool) {
	d := &fleet.Digest{Hall: n.options.Self.Hall, Revision: n.hallRevision(), HighestRevision: n.config.Revision()}
	for _, ps := range n.poolList {
		if !ps.inOwnHall {
			continue
		}
		if p, ok := n.announcedPlacer(ps); ok {
			d.Placers = append(d.Placers, p)
		}
		if s, ok := n.summaryOf(now, ps, full || r.WantsSummary(ps.pool.Name)); ok {
			d.Pools = append(d.Pools, s)
		}
	}
	d.Speaker, d.Boot, d.Number = n.options.Self, n.options.Boot, n.digestSchedule.Number()
	if full || r.WantsInstances() {
		d.Instances = append(d.Instances, n.members.Known()...)
	}
	d.WantedSummaries = r.MissedSummaries()
	for _, to := range r.Recipients(n.platformList.Instances()) {
		n.send(to, fleet.Envelope{Digest: d})
	}
}

// summaryOf returns a pool's summary: from the local placer, or else as last received.
func (n *Node) summaryOf(now time.Time, ps *poolState, full bool) (fleet.PoolSummary, bool) {
	if !ps.isPlacer {
		return n.router.Export(now, ps.pool.Name, full)
	}
	if full {
		return ps.publisher.Full(), true
	}
	return ps.publisher.Partial(now), true
}

// announcedPlacer returns the placer of a pool as digests announce it, and false if none is known.
func (n *Node) announcedPlacer(ps *poolState) (fleet.PoolPlacer, bool) {
	if ps.isPlacer {
		return fleet.PoolPlacer{Pool: ps.pool.Name, Term: ps.term, Instance: n.options.Self}, true
	}
	m := n.members.Member(ps.placerID)
	if m == nil || !m.Alive {
		return fleet.PoolPlacer{}, false
	}
	return fleet.PoolPlacer{Pool: ps.pool.Name, Term: heldTerm(m, ps.pool.Name), Instance: m.Instance}, true
}

// handleDigest processes another hall's digest and relays it within this hall, unless it was relayed already. A late digest
// is ignored: it describes an earlier state of the hall and does not show that the hall is reachable now.
func (n *Node) handleDigest(now time.Time, e fleet.Envelope) {
	d := e.Digest
	r := n.remoteHalls[d.Hall]
	if r == nil || r.IsLate(d) {
		return
	}
	r.ApplyDigest(now, d)
	for _, p := range d.Placers {
		if r.UpdatePlacer(p) {
			n.remotePlacerChanged(now, p)
		}
	}
	for _, s := range d.Pools {
		r.SetSummaryMissed(s.Pool, !n.router.ApplySummary(now, s))
	}
	n.setHallCutOff(now, r, false)
	n.config.RecordRevision(d.HighestRevision)
	n.answerQueue.RevisionReached(d.Speaker.ID, d.HighestRevision)
	if speaker, ok := r.Speaker(); ok && d.HighestRevision > n.config.Revision() {
		n.requestRecords(now, speaker)
	}
	if !d.Relayed {
		n.relayDigest(*d)
	}
}

// remotePlacerChanged reports the tickets in use to a pool's new placer in another hall and resubmits the waiting requests to it.
func (n *Node) remotePlacerChanged(now time.Time, p fleet.PoolPlacer) {
	if ps := n.pools[p.Pool]; ps != nil {
		n.reportTicketsInUse(ps, p.Instance)
		n.resubmitPool(now, ps)
	}
}

// relayDigest sends another hall's digest to the live members of this hall.
func (n *Node) relayDigest(d fleet.Digest) {
	d.Relayed = true
	for _, m := range n.members.Alive() {
		n.send(m.Instance, fleet.Envelope{Digest: &d})
	}
}

// markSilentHalls marks halls as cut off that have sent no digest for Timing.HallSilence.
func (n *Node) markSilentHalls(now time.Time) {
	for _, name := range n.options.Halls {
		r := n.remoteHalls[name]
		if r != nil && r.BecameSilent(now, n.options.Timing.HallSilence) {
			n.setHallCutOff(now, r, true)
		}
	}
}

func (n *Node) setHallCutOff(now time.Time, r *digest.Hall, cutOff bool) {
	if !r.SetCutOff(cutOff) {
		return
	}
	n.router.SetCutOff(r.Name(), cutOff)
	kind, cause := fleet.EventThaw, "the hall is heard again"
	if cutOff {
		kind, cause = fleet.EventFreeze, "the hall has gone silent; requests stay in reachable halls"
	}
	n.recordEvent(now, fleet.Event{Kind: kind, Other: r.Name(), Cause: cause})
}

// hallRevision returns the lowest revision in force among this hall's live instances.
func (n *Node) hallRevision() int64 {
	lowest := n.config.Revision()
	for _, m := range n.members.Alive() {
		lowest = min(lowest, m.Revision)
	}
	return lowest
}
