// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// heldByPeer announces the hall's pool under a term above the term of a first takeover.
var heldByPeer = fleet.HeldPool{Pool: "h1/base", Term: 9}

func digestOfH2(revision int64) fleet.Envelope {
	speaker := fleet.Instance{ID: "j1", Hall: "h2"}
	return fleet.Envelope{From: "j1", Digest: &fleet.Digest{Hall: "h2", Speaker: speaker, Revision: revision, HighestRevision: revision}}
}

func TestHallViews(t *testing.T) {
	n := newNode()
	halls := n.Halls(begin)
	require.Len(t, halls, 2)
	require.Equal(t, node.HallView{Hall: "h1", Speaker: instance("i1", 1)}, halls[0])
	require.Equal(t, node.HallView{Hall: "h2", CutOff: true}, halls[1], "no digest received yet")

	at := begin.Add(time.Second)
	n.Handle(at, digestOfH2(4))
	n.Handle(at, digestOfH2(4))
	for _, row := range []struct {
		after time.Duration
		cut   bool
	}{{0, false}, {3 * time.Second, false}, {3*time.Second + 1, true}, {time.Hour, true}} {
		now := at.Add(row.after)
		n.Tick(now)
		require.Equal(t, node.HallView{
			Hall: "h2", Revision: 4, Age: row.after, CutOff: row.cut, Speaker: fleet.Instance{ID: "j1", Hall: "h2"},
		}, n.Halls(now)[1])
	}
	here, highest := n.Revision()
	require.Zero(t, here, "an announced revision is not yet in force")
	require.EqualValues(t, 4, highest)
}

func TestInstanceViews(t *testing.T) {
	n := newNode()
	n.SetListed(begin, []fleet.Instance{instance("i1", 1), instance("i3", 3)}, nil)
	n.Handle(begin.Add(time.Second), peerHeartbeat(heldByPeer))
	now := begin.Add(2 * time.Second)
	require.Equal(t, []node.InstanceView{
		{Instance: instance("i1", 1), Alive: true, Listed: true},
		{Instance: instance("i2", 2), Alive: true, Age: time.Second, Pools: []string{"h1/base"}},
		{Instance: instance("i3", 3), Listed: true, Age: 2 * time.Second},
	}, n.Instances(now))
	require.Equal(t, []fleet.Instance{instance("i2", 2)}, n.Peers())

	n.Tick(begin.Add(1500 * time.Millisecond))
	n.Tick(begin.Add(2 * time.Second))
	n.Tick(begin.Add(2200*time.Millisecond + 1))
	require.Empty(t, n.Peers(), "no heartbeat for longer than 1.2 s")
	lost := n.Instances(now)[1]
	require.False(t, lost.Alive)
	require.Empty(t, lost.Pools, "the pools of a lost member are unknown")
}

func TestReadyOnceAllPoolsOfHallHavePlacers(t *testing.T) {
	n := newNode()
	n.ApplyRecords(begin, fleet.Records{})
	require.False(t, n.Ready())
	n.Handle(begin, peerHeartbeat(heldByPeer))
	n.Tick(begin)
	require.True(t, n.Ready(), "another instance holds the pool")
	solePlacer, now, _ := solePlacer(t)
	solePlacer.ApplyRecords(now, fleet.Records{})
	require.True(t, solePlacer.Ready(), "the node holds the pool itself")
	solePlacer.Leave(now)
	require.False(t, solePlacer.Ready())
	require.True(t, solePlacer.Idle())
}

func TestReadyOnceConfigurationIsKnown(t *testing.T) {
	record, err := catalog.EncodeRecord(catalog.Record{Revision: 1, Changes: []catalog.Change{{Kind: catalog.CreateAdapter, Name: "a", Base: "base"}}})
	require.NoError(t, err)
	records := fleet.Records{Head: 1, Records: [][]byte{record}}
	for _, row := range []struct {
		name    string
		receive func(n *node.Node, now time.Time) []node.Effect
		ready   bool
	}{
		{"nothing", func(*node.Node, time.Time) []node.Effect { return nil }, false},
		{"the store has none", func(n *node.Node, now time.Time) []node.Effect { return n.ApplyRecords(now, fleet.Records{}) }, true},
		{"the store has one", func(n *node.Node, now time.Time) []node.Effect { return n.ApplyRecords(now, records) }, true},
		{"the store has one that cannot be read", func(n *node.Node, now time.Time) []node.Effect { return n.ApplyRecords(now, fleet.Records{Head: 1}) }, false},
		{"a peer has one", func(n *node.Node, now time.Time) []node.Effect {
			return n.Handle(now, fleet.Envelope{From: "i2", Boot: 1, Records: &records})
		}, true},
		{"a peer has none and may not have read it", func(n *node.Node, now time.Time) []node.Effect {
			return n.Handle(now, fleet.Envelope{From: "i2", Boot: 1, Records: &fleet.Records{}})
		}, false},
	} {
		n, now, _ := solePlacer(t)
		effects := row.receive(n, now)
		require.Equal(t, row.ready, n.Ready(), row.name)
		require.Equal(t, row.ready, len(effectsOf[node.PublishCatalog](effects)) > 0, row.name)
	}
}

func TestInstanceWithoutConfigurationReadsStoreUntilPeerHasOne(t *testing.T) {
	n := newNode()
	smallest := fleet.Envelope{From: "i0", Boot: 1, Heartbeat: &fleet.Heartbeat{Instance: instance("i0", 3), Stamp: 1}}
	require.Equal(t, []node.WatchConfiguration{{On: true}}, effectsOf[node.WatchConfiguration](n.Tick(begin)))
	n.Handle(begin, smallest)
	n.Handle(begin, peerHeartbeat())
	require.NotEqual(t, "i1", n.Halls(begin)[0].Speaker.ID, "another instance is the speaker")
	require.Empty(t, effectsOf[node.WatchConfiguration](n.Tick(begin)), "the speaker may not have read it either")
	smallest.Heartbeat.Revision, smallest.Heartbeat.Stamp = 1, 2
	n.Handle(begin, smallest)
	require.Equal(t, []node.WatchConfiguration{{}}, effectsOf[node.WatchConfiguration](n.Tick(begin)), "a peer has it")
}

func TestPoolViewsShowOnlyPoolsOfThisPlacer(t *testing.T) {
	n, now, take := solePlacer(t)
	pools := n.Pools(now)
	require.Len(t, pools, 1)
	require.EqualValues(t, 5, pools[0].Term, "the boot number, since there is no earlier term")
	require.Len(t, pools[0].Endpoints, 2)
	require.False(t, pools[0].Endpoints[0].Up, "not taken over yet")
	result := node.TakeoverResult{
		Pool: "h1/base", Term: 5, OK: true, Fence: 1 << 16,
		Inspection: placement.Inspection{Endpoint: take.Endpoint.Name, Incarnation: "e1-1", StartedAt: now, Up: true},
	}
	n.HandleTakeoverResult(now, result)
	require.True(t, n.Pools(now)[0].Endpoints[0].Up)
	require.Empty(t, n.HandleTakeoverResult(now, result), "a repeated answer has no effect")
	result.Term = 4
	require.Empty(t, n.HandleTakeoverResult(now, result), "a late answer of an earlier term has no effect")
	n.Handle(now, peerHeartbeat(heldByPeer))
	require.Empty(t, n.Pools(now))
}
