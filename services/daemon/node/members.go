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
	// entryMemory is the silence after which an instance that submitted requests or sent heartbeats is forgotten. An entry with a waiting
	// request is heard each Timing.Resubmit. Longer answers permits of instances that nobody else names, shorter takes less memory.
	entryMemory = 10 * time.Minute
	// entrySweep is the time between two looks for such instances. Longer looks at them less often, shorter forgets them nearer to their
	// time.
	entrySweep = time.Minute
)

// entryPeer is what a placer knows of an instance that submits requests.
type entryPeer struct {
	instance fleet.Instance
	stamp    time.Duration
	heard    time.Time
}

// peerState is what a peer of the hall last said of itself.
type peerState struct {
	hash  uint64
	wants []string
}

func (n *Node) peer(id string) *peerState {
	p, ok := n.peers[id]
	if !ok {
		p = &peerState{}
		n.peers[id] = p
	}
	return p
}

// memberChanged notes that a member has joined, left or been lost.
func (n *Node) memberChanged(now time.Time, c membership.Change) {
	id := c.Member.Instance.ID
	switch c.Kind {
	case membership.Joined:
		n.note(now, fleet.Event{Kind: fleet.EventMemberJoined, Other: id, Cause: "first heartbeat since it was last lost or unknown"})
	case membership.Left:
		n.note(now, fleet.Event{Kind: fleet.EventMemberLeft, Other: id, Cause: "it announced a planned stop"})
	case membership.Lost, membership.Restarted:
		n.note(now, fleet.Event{Kind: fleet.EventMemberLost, Other: id, Cause: "no heartbeat in time, or a new life of the instance"})
		n.entryLost(now, id)
	}
}

// entryLost gives up the tickets of an instance that was lost or has begun a new life.
func (n *Node) entryLost(now time.Time, id string) {
	for _, ps := range n.order {
		if ps.mine && ps.placer != nil {
			n.run(now, ps, ps.placer.EntryLost(now, id))
		}
	}
}

// heartbeat takes a peer's heartbeat.
func (n *Node) heartbeat(now time.Time, e fleet.Envelope) {
	hb := e.Heartbeat
	n.learnEntry(now, hb.Instance, hb.Stamp)
	for _, c := range n.members.Heard(now, e.Boot, hb) {
		n.memberChanged(now, c)
	}
	m := n.members.Member(hb.Instance.ID)
	if m == nil {
		return
	}
	n.learnHeld(now, m)
	n.learnPools(now, hb)
	n.config.Hear(hb.Revision)
	n.answers.Reached(hb.Instance.ID, hb.Revision)
	if hb.Revision > n.config.Revision() {
		n.want(now, hb.Instance)
	}
	p := n.peer(m.Instance.ID)
	p.hash = hb.Members
	p.wants = hb.WantedSummaries
}

// learnEntry remembers where an instance is and the latest of its stamps. An instance that
// has moved is in a new life, whose clock began anew.
func (n *Node) learnEntry(now time.Time, i fleet.Instance, stamp time.Duration) {
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
	p.heard = now
}

// tickForget forgets instances that have been silent for long, and what peers said that are members no more.
func (n *Node) tickForget(now time.Time) {
	if now.Sub(n.forgot) < entrySweep {
		return
	}
	n.forgot = now
	maps.DeleteFunc(n.entries, func(_ string, p *entryPeer) bool { return now.Sub(p.heard) > entryMemory })
	maps.DeleteFunc(n.peers, func(id string, _ *peerState) bool { return n.members.Member(id) == nil })
}

// sendHeartbeats sends to each peer whose turn has come, with the pools' changes.
func (n *Node) sendHeartbeats(now time.Time) {
	due := n.members.Due(now)
	if len(due) == 0 {
		return
	}
	n.updateSummaries(now)
	for _, m := range due {
		n.sendHeartbeat(now, m)
	}
}

// heartbeatAll tells every live peer at once, for news that cannot wait.
func (n *Node) heartbeatAll(now time.Time) {
	n.updateSummaries(now)
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
	if peer.hash != hb.Members {
		hb.Known = n.members.Known()
	}
	for _, ps := range n.order {
		if ps.mine {
			hb.Held = append(hb.Held, fleet.HeldPool{Pool: ps.pool.Name, Term: ps.term})
		}
		if ps.mine {
			hb.Pools = append(hb.Pools, n.summaryFor(now, peer, ps))
		}
		if ps.own && !ps.mine && ps.gap {
			hb.WantedSummaries = append(hb.WantedSummaries, ps.pool.Name)
		}
	}
	n.send(m.Instance, fleet.Envelope{Heartbeat: hb})
}

// summaryFor gives the whole summary where the peer asked for it, and else the changes.
func (n *Node) summaryFor(now time.Time, peer *peerState, ps *poolState) fleet.PoolSummary {
	if slices.Contains(peer.wants, ps.pool.Name) {
		return ps.publisher.Full()
	}
	return ps.publisher.Recent(now)
}

// updateSummaries brings the publishers of held pools up to the present.
func (n *Node) updateSummaries(now time.Time) {
	for _, ps := range n.order {
		if !ps.mine || ps.placer == nil {
			continue
		}
		ps.publisher.Update(now, ps.placer.Summary())
		if !n.router.Learn(now, ps.publisher.Recent(now)) {
			n.router.Learn(now, ps.publisher.Full())
		}
	}
}
