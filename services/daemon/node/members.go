// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
)

const (
	// entryRetention is the silence after which the address of an instance that submitted requests or sent heartbeats is dropped. An entry
	// with a waiting request sends a message each Timing.Resubmit. A longer time lets the node answer permits of instances that it knows
	// from no other source; a shorter time uses less memory.
	entryRetention = 10 * time.Minute
	// entrySweepInterval is the interval between two searches for silent instances. A longer interval costs less work; a shorter one drops
	// silent instances closer to the end of the retention time.
	entrySweepInterval = time.Minute
)

// entryPeer is the address and the latest stamp of an instance that submits requests to this node or sends it heartbeats.
type entryPeer struct {
	instance      fleet.Instance
	stamp         time.Duration
	lastMessageAt time.Time
}

// peerState holds the member hash and the wanted pool summaries of a peer's last heartbeat.
type peerState struct {
	memberHash      uint64
	wantedSummaries []string
}

func (n *Node) peer(id string) *peerState {
	p, ok := n.peers[id]
	if !ok {
		p = &peerState{}
		n.peers[id] = p
	}
	return p
}

// memberChanged records that a member has joined, left or been lost, and drops the tickets of a lost one.
func (n *Node) memberChanged(now time.Time, c membership.Change) {
	id := c.Member.Instance.ID
	switch c.Kind {
	case membership.Joined:
		n.recordEvent(now, fleet.Event{Kind: fleet.EventMemberJoined, Other: id, Cause: "first heartbeat since it was last lost or unknown"})
	case membership.Left:
		n.recordEvent(now, fleet.Event{Kind: fleet.EventMemberLeft, Other: id, Cause: "it announced a planned stop"})
	case membership.Lost, membership.Restarted:
		n.recordEvent(now, fleet.Event{Kind: fleet.EventMemberLost, Other: id, Cause: "no heartbeat in time, or a new life of the instance"})
		n.entryLost(now, id)
	}
}

// entryLost drops the tickets of an instance that was lost or has restarted.
func (n *Node) entryLost(now time.Time, id string) {
	for _, ps := range n.poolList {
		if ps.isPlacer && ps.placer != nil {
			n.applyPlacerEffects(now, ps, ps.placer.HandleEntryLoss(now, id))
		}
	}
}

// handleHeartbeat processes a peer's heartbeat.
func (n *Node) handleHeartbeat(now time.Time, e fleet.Envelope) {
	hb := e.Heartbeat
	n.storeEntry(now, hb.Instance, hb.Stamp)
	for _, c := range n.members.Received(now, e.Boot, hb) {
		n.memberChanged(now, c)
	}
	m := n.members.Member(hb.Instance.ID)
	if m == nil {
		return
	}
	n.handleHeldPools(now, m)
	n.storePoolSummaries(now, hb)
	n.config.RecordRevision(hb.Revision)
	n.answerQueue.RevisionReached(hb.Instance.ID, hb.Revision)
	if hb.Revision > n.config.Revision() {
		n.requestRecords(now, hb.Instance)
	}
	p := n.peer(m.Instance.ID)
	p.memberHash = hb.Members
	p.wantedSummaries = hb.WantedSummaries
}

// storeEntry stores an instance's address and the latest of its stamps. An instance whose
// address changed has restarted, so its stamps start from zero again.
func (n *Node) storeEntry(now time.Time, i fleet.Instance, stamp time.Duration) {
	p, ok := n.entries[i.ID]
	if !ok {
		p = &entryPeer{}
		n.entries[i.ID] = p
	}
	if p.instance.Address != i.Address {
		p.stamp = 0
	}
	p.instance = i
	p.stamp = max(p.stamp, stamp)
	p.lastMessageAt = now
}

// tickSweep drops the entries that have been silent for entryRetention and the state of peers that are no longer members.
func (n *Node) tickSweep(now time.Time) {
	if now.Sub(n.sweptAt) < entrySweepInterval {
		return
	}
	n.sweptAt = now
	maps.DeleteFunc(n.entries, func(_ string, p *entryPeer) bool { return now.Sub(p.lastMessageAt) > entryRetention })
	maps.DeleteFunc(n.peers, func(id string, _ *peerState) bool { return n.members.Member(id) == nil })
}

// sendHeartbeats sends the heartbeats that are due, with the recent changes of the pools.
func (n *Node) sendHeartbeats(now time.Time) {
	due := n.members.DueHeartbeats(now)
	if len(due) == 0 {
		return
	}
	n.updatePoolSummaries(now)
	for _, m := range due {
		n.sendHeartbeat(now, m)
	}
}

// heartbeatAll sends a heartbeat to every live peer at once, for changes that must not wait for the next interval.
func (n *Node) heartbeatAll(now time.Time) {
	n.updatePoolSummaries(now)
	for _, m := range n.members.Alive() {
		m.Sent = now
		n.sendHeartbeat(now, m)
	}
}

func (n *Node) sendHeartbeat(now time.Time, m *membership.Member) {
	peer := n.peer(m.Instance.ID)
	hb := &fleet.Heartbeat{
		Instance: n.options.Self, Stamp: n.stamp(now), Revision: n.config.Revision(), Leaving: n.leaving, Members: n.members.Hash(),
	}
	if peer.memberHash != hb.Members {
		hb.Known = n.members.Known()
	}
	for _, ps := range n.poolList {
		if ps.isPlacer {
			hb.HeldPools = append(hb.HeldPools, fleet.HeldPool{Pool: ps.pool.Name, Term: ps.term})
		}
		if ps.isPlacer {
			hb.Pools = append(hb.Pools, n.summaryFor(now, peer, ps))
		}
		if ps.inOwnHall && !ps.isPlacer && ps.summaryMissed {
			hb.WantedSummaries = append(hb.WantedSummaries, ps.pool.Name)
		}
	}
	n.send(m.Instance, fleet.Envelope{Heartbeat: hb})
}

// summaryFor returns the full pool summary if the peer requested it, and the recent changes otherwise.
func (n *Node) summaryFor(now time.Time, peer *peerState, ps *poolState) fleet.PoolSummary {
	if slices.Contains(peer.wantedSummaries, ps.pool.Name) {
		return ps.publisher.Full()
	}
	return ps.publisher.Partial(now)
}

// updatePoolSummaries updates the publishers and the router with the current summaries of this node's pools.
func (n *Node) updatePoolSummaries(now time.Time) {
	for _, ps := range n.poolList {
		if !ps.isPlacer || ps.placer == nil {
			continue
		}
		ps.publisher.Update(now, ps.placer.Summary())
		if !n.router.ApplySummary(now, ps.publisher.Partial(now)) {
			n.router.ApplySummary(now, ps.publisher.Full())
		}
	}
}
