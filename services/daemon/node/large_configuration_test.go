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
	// linkRate is that of a link of 10 Mbit/s, in bytes a second.
	linkRate = 1_250_000
	// smallBytes is taken as the size of each envelope on the wire that is no configuration.
	smallBytes = 300
	// linkDelay and linkStep are the time of an envelope on its way, and the step of the time of the test.
	linkDelay = time.Millisecond
	linkStep  = 5 * time.Millisecond
)

// flight is an envelope on its way to a member of a hall.
type flight struct {
	from     string
	envelope fleet.Envelope
	size     int
	arrives  time.Time
}

// hall is some nodes of one hall, each behind a link that carries large envelopes one after the other in each direction. A small one waits only for
// those of its own sender, as on connections that share a link.
type hall struct {
	now     time.Time
	nodes   map[netip.AddrPort]*node.Node
	members []fleet.Instance
	links   map[netip.AddrPort][]flight
	// sending is until when the link of each carries large envelopes away.
	sending map[string]time.Time
	// lose is how many large answers get lost.
	lose int
	// answered counts the bytes of configuration sent to each, and mostUnderWay is the most that were on all links at a time.
	answered     map[netip.AddrPort]int
	mostUnderWay int
	inForce      map[netip.AddrPort]time.Duration
}

func newHall(count int) *hall {
	h := &hall{
		now: begin, nodes: make(map[netip.AddrPort]*node.Node), links: make(map[netip.AddrPort][]flight),
		sending:  make(map[string]time.Time),
		answered: make(map[netip.AddrPort]int), inForce: make(map[netip.AddrPort]time.Duration),
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
		h.do(h.nodes[m.Address].SetListed(begin, h.members, nil))
	}
	return h
}

// do puts what a node sends on the links.
func (h *hall) do(effects []node.Effect) {
	for _, s := range only[node.Send](effects) {
		e := s.Envelope
		size := smallBytes
		if r := e.Records; r != nil {
			size += len(r.Snapshot)
			h.answered[e.To] += len(r.Snapshot)
			if len(r.Snapshot) > 0 && h.lose > 0 {
				h.lose--
				continue
			}
		}
		leaves := h.now
		for _, f := range h.links[e.To] {
			if f.arrives.After(leaves) && (f.from == e.From || min(f.size, size) > smallBytes) {
				leaves = f.arrives
			}
		}
		if free := h.sending[e.From]; size > smallBytes && free.After(leaves) {
			leaves = free
		}
		arrives := leaves.Add(linkDelay + time.Duration(size)*time.Second/linkRate)
		if size > smallBytes {
			h.sending[e.From] = arrives
		}
		h.links[e.To] = append(h.links[e.To], flight{from: e.From, envelope: e, size: size, arrives: arrives})
	}
}

// arrived takes what has arrived at a member from its link.
func (h *hall) arrived(at netip.AddrPort) []fleet.Envelope {
	var out []fleet.Envelope
	var left []flight
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

// step lets a little time pass.
func (h *hall) step() {
	h.now = h.now.Add(linkStep)
	underWay := 0
	for _, m := range h.members {
		n := h.nodes[m.Address]
		for _, e := range h.arrived(m.Address) {
			h.do(n.Handle(h.now, e))
		}
		h.do(n.Tick(h.now))
		if _, known := h.inForce[m.Address]; !known && n.Catalog().Revision > 0 {
			h.inForce[m.Address] = h.now.Sub(begin)
		}
	}
	for _, link := range h.links {
		for _, f := range link {
			underWay += f.size
		}
	}
	h.mostUnderWay = max(h.mostUnderWay, underWay)
}

// run lets the nodes run for a time, at the start of which the first ones get a configuration.
func (h *hall) run(snapshot []byte, ahead int, span time.Duration) {
	for _, m := range h.members[:ahead] {
		h.do(h.nodes[m.Address].TakeRecords(h.now, fleet.Records{Head: 1, Snapshot: snapshot}))
	}
	for end := h.now.Add(span); h.now.Before(end); {
		h.step()
	}
}

// largeSnapshot gives the stored form of a catalog of about so many bytes.
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

// largest is the size of a large configuration, in bytes: 0.8 s of a link of 10 Mbit/s.
const largest = 1_000_000

func TestALargeConfigurationIsSentOnceToOneThatLacksIt(t *testing.T) {
	snapshot := largeSnapshot(t, largest)
	const ahead = 4
	h := newHall(ahead + 1)
	h.run(snapshot, ahead, 5*time.Second)
	slow := h.members[ahead].Address
	t.Logf("%d bytes of %d, in force after %v", h.answered[slow], len(snapshot), h.inForce[slow])
	require.Less(t, h.inForce[slow], 2*time.Second)
	require.NotZero(t, h.inForce[slow])
	require.Less(t, h.answered[slow], 2*len(snapshot), "the link carries it once")
}

func TestALargeConfigurationThatWasLostIsSentAgainWithinSeconds(t *testing.T) {
	snapshot := largeSnapshot(t, largest)
	h := newHall(2)
	h.lose = 1
	h.run(snapshot, 1, 8*time.Second)
	slow := h.members[1].Address
	t.Logf("%d bytes of %d, in force after %v", h.answered[slow], len(snapshot), h.inForce[slow])
	require.NotZero(t, h.inForce[slow])
	require.Less(t, h.inForce[slow], 5*time.Second)
	require.Less(t, h.answered[slow], 3*len(snapshot), "one was lost")
}

func TestManyThatLackALargeConfigurationGetItInTurn(t *testing.T) {
	snapshot := largeSnapshot(t, largest)
	const askers = 24
	h := newHall(1 + askers)
	h.run(snapshot, 1, 200*time.Millisecond)
	first := h.mostUnderWay
	h.run(snapshot, 0, 15*time.Second)
	total, last := 0, time.Duration(0)
	for _, m := range h.members[1:] {
		require.NotZero(t, h.inForce[m.Address], "%s has it", m.ID)
		last = max(last, h.inForce[m.Address])
		total += h.answered[m.Address]
	}
	t.Logf("%d answers to %d askers, in force at the last after %v; at most %d bytes under way from one that has it, %d from all",
		total/len(snapshot), askers, last, first, h.mostUnderWay)
	require.Less(t, last, 10*time.Second)
	require.Less(t, total, (askers+askers/4)*len(snapshot))
	require.Less(t, first, 3*len(snapshot), "one that has it passes few on at a time")
}

func TestLostAnswersKeepNobodyFromALargeConfiguration(t *testing.T) {
	snapshot := largeSnapshot(t, largest)
	const askers = 12
	h := newHall(1 + askers)
	h.lose = askers / 2
	h.run(snapshot, 1, 20*time.Second)
	last := time.Duration(0)
	for _, m := range h.members[1:] {
		require.NotZero(t, h.inForce[m.Address], "%s has it", m.ID)
		last = max(last, h.inForce[m.Address])
	}
	t.Logf("in force at the last of %d askers after %v, %d answers lost", askers, last, askers/2)
	require.Less(t, last, 12*time.Second)
}
