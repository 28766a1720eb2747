// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

const (
	// linkRate is the rate of a 10 Mbit/s link in bytes per second.
	linkRate = 1_250_000
	// smallBytes is the assumed wire size of each envelope without configuration.
	smallBytes = 300
	// linkDelay is the latency of an envelope besides its transfer time; linkStep is the time step of the simulation.
	linkDelay = time.Millisecond
	linkStep  = 5 * time.Millisecond
)

// envelopeInTransit is an envelope in transit to a member of the hall.
type envelopeInTransit struct {
	from     string
	envelope fleet.Envelope
	size     int
	arrives  time.Time
}

// simulatedHall simulates the nodes of one hall. Each node has a link that transfers large envelopes one after the other in each direction. A small
// envelope waits only for envelopes of the same sender, as on separate connections that share a link.
type simulatedHall struct {
	now     time.Time
	nodes   map[netip.AddrPort]*node.Node
	members []fleet.Instance
	links   map[netip.AddrPort][]envelopeInTransit
	// busyUntil is the time, by sender, until which the sender's link transfers large envelopes.
	busyUntil map[string]time.Time
	// answersToDrop is the number of further large answers to drop.
	answersToDrop int
	// sentConfigBytes counts the configuration bytes sent to each node; maxInTransit is the maximum number of bytes on all links at a time.
	sentConfigBytes map[netip.AddrPort]int
	maxInTransit    int
	inForceAfter    map[netip.AddrPort]time.Duration
}

func newSimulatedHall(count int) *simulatedHall {
	h := &simulatedHall{
		now: begin, nodes: make(map[netip.AddrPort]*node.Node), links: make(map[netip.AddrPort][]envelopeInTransit),
		busyUntil:       make(map[string]time.Time),
		sentConfigBytes: make(map[netip.AddrPort]int), inForceAfter: make(map[netip.AddrPort]time.Duration),
	}
	for i := range count {
		self := instance(fmt.Sprintf("i%d", i), uint16(i+1))
		h.members = append(h.members, self)
		h.nodes[self.Address] = node.New(begin, node.Options{
			Self: self, Boot: 5, Halls: []string{"h1"}, Placement: placement.DefaultOptions(), Routing: routing.DefaultOptions(),
			Membership: membership.DefaultOptions(), Budget: budget.Limits{LoadsPerSecond: 10, AtFullSpeed: 2}, Timing: node.DefaultTiming(),
		})
	}
	for _, m := range h.members {
		h.sendEnvelopes(h.nodes[m.Address].SetListed(begin, h.members, nil))
	}
	return h
}

// sendEnvelopes puts the envelopes that a node sends on the links.
func (h *simulatedHall) sendEnvelopes(effects []node.Effect) {
	for _, s := range effectsOf[node.Send](effects) {
		e := s.Envelope
		size := smallBytes
		if r := e.Records; r != nil {
			size += len(r.Snapshot)
			h.sentConfigBytes[e.To] += len(r.Snapshot)
			if len(r.Snapshot) > 0 && h.answersToDrop > 0 {
				h.answersToDrop--
				continue
			}
		}
		leaves := h.now
		for _, f := range h.links[e.To] {
			if f.arrives.After(leaves) && (f.from == e.From || min(f.size, size) > smallBytes) {
				leaves = f.arrives
			}
		}
		if free := h.busyUntil[e.From]; size > smallBytes && free.After(leaves) {
			leaves = free
		}
		arrives := leaves.Add(linkDelay + time.Duration(size)*time.Second/linkRate)
		if size > smallBytes {
			h.busyUntil[e.From] = arrives
		}
		h.links[e.To] = append(h.links[e.To], envelopeInTransit{from: e.From, envelope: e, size: size, arrives: arrives})
	}
}

// receive removes the envelopes that have arrived at a member from its link and returns them.
func (h *simulatedHall) receive(at netip.AddrPort) []fleet.Envelope {
	var out []fleet.Envelope
	var left []envelopeInTransit
	for _, f := range h.links[at] {
		if f.arrives.After(h.now) {
			left = append(left, f)
			continue
		}
		out = append(out, f.envelope)
	}
	h.links[at] = left
	return out
}

// step advances the simulation by linkStep.
func (h *simulatedHall) step() {
	h.now = h.now.Add(linkStep)
	inTransit := 0
	for _, m := range h.members {
		n := h.nodes[m.Address]
		for _, e := range h.receive(m.Address) {
			h.sendEnvelopes(n.Handle(h.now, e))
		}
		h.sendEnvelopes(n.Tick(h.now))
		if _, known := h.inForceAfter[m.Address]; !known && n.Catalog().Revision > 0 {
			h.inForceAfter[m.Address] = h.now.Sub(begin)
		}
	}
	for _, link := range h.links {
		for _, f := range link {
			inTransit += f.size
		}
	}
	h.maxInTransit = max(h.maxInTransit, inTransit)
}

// run returns the snapshot to the first nodes and then runs the simulation for span.
func (h *simulatedHall) run(snapshot []byte, ahead int, span time.Duration) {
	for _, m := range h.members[:ahead] {
		h.sendEnvelopes(h.nodes[m.Address].ApplyRecords(h.now, fleet.Records{Head: 1, Snapshot: snapshot}))
	}
	for end := h.now.Add(span); h.now.Before(end); {
		h.step()
	}
}

// largeSnapshot returns the stored form of a catalog of about the given size.
func largeSnapshot(t *testing.T, bytes int) []byte {
	t.Helper()
	const sourceBytes = 4096
	random := rand.NewChaCha8([32]byte{1})
	c := catalog.New()
	var changes []catalog.Change
	for i := range bytes / sourceBytes {
		source := make([]byte, sourceBytes)
		_, err := random.Read(source)
		require.NoError(t, err)
		changes = append(changes, catalog.Change{Kind: catalog.CreateAdapter, Name: fmt.Sprint("a", i), Base: "base", Version: 1, Source: hex.EncodeToString(source)})
	}
	next, _, err := c.Apply(1, changes)
	require.NoError(t, err)
	data, err := catalog.EncodeSnapshot(next)
	require.NoError(t, err)
	return data
}

// largeConfigBytes is the size of a large configuration in bytes. Its transfer takes 0.8 s on a 10 Mbit/s link.
const largeConfigBytes = 1_000_000

func TestLargeConfigurationIsSentOnceToOutdatedPeer(t *testing.T) {
	snapshot := largeSnapshot(t, largeConfigBytes)
	const ahead = 4
	h := newSimulatedHall(ahead + 1)
	h.run(snapshot, ahead, 5*time.Second)
	slow := h.members[ahead].Address
	t.Logf("%d bytes of %d, in force after %v", h.sentConfigBytes[slow], len(snapshot), h.inForceAfter[slow])
	require.Less(t, h.inForceAfter[slow], 2*time.Second)
	require.NotZero(t, h.inForceAfter[slow])
	require.Less(t, h.sentConfigBytes[slow], 2*len(snapshot), "the configuration is sent once")
}

func TestLostLargeConfigurationIsSentAgainWithinSeconds(t *testing.T) {
	snapshot := largeSnapshot(t, largeConfigBytes)
	h := newSimulatedHall(2)
	h.answersToDrop = 1
	h.run(snapshot, 1, 8*time.Second)
	slow := h.members[1].Address
	t.Logf("%d bytes of %d, in force after %v", h.sentConfigBytes[slow], len(snapshot), h.inForceAfter[slow])
	require.NotZero(t, h.inForceAfter[slow])
	require.Less(t, h.inForceAfter[slow], 5*time.Second)
	require.Less(t, h.sentConfigBytes[slow], 3*len(snapshot), "one answer was lost")
}

func TestManyOutdatedPeersGetLargeConfigurationInTurn(t *testing.T) {
	snapshot := largeSnapshot(t, largeConfigBytes)
	const requesters = 24
	h := newSimulatedHall(1 + requesters)
	h.run(snapshot, 1, 200*time.Millisecond)
	first := h.maxInTransit
	h.run(snapshot, 0, 15*time.Second)
	total, last := 0, time.Duration(0)
	for _, m := range h.members[1:] {
		require.NotZero(t, h.inForceAfter[m.Address], "%s has the configuration", m.ID)
		last = max(last, h.inForceAfter[m.Address])
		total += h.sentConfigBytes[m.Address]
	}
	t.Logf("%d answers to %d requesters, in force at the last after %v; at most %d bytes in transit from one node with the configuration, %d from all",
		total/len(snapshot), requesters, last, first, h.maxInTransit)
	require.Less(t, last, 10*time.Second)
	require.Less(t, total, (requesters+requesters/4)*len(snapshot))
	require.Less(t, first, 3*len(snapshot), "one node sends few answers at a time")
}

func TestAllPeersGetLargeConfigurationDespiteLostAnswers(t *testing.T) {
	snapshot := largeSnapshot(t, largeConfigBytes)
	const requesters = 12
	h := newSimulatedHall(1 + requesters)
	h.answersToDrop = requesters / 2
	h.run(snapshot, 1, 20*time.Second)
	last := time.Duration(0)
	for _, m := range h.members[1:] {
		require.NotZero(t, h.inForceAfter[m.Address], "%s has the configuration", m.ID)
		last = max(last, h.inForceAfter[m.Address])
	}
	t.Logf("in force at the last of %d requesters after %v, %d answers lost", requesters, last, requesters/2)
	require.Less(t, last, 12*time.Second)
}
