// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	require.False(t, n.Ready())
	n.Handle(begin, peerHeartbeat(heldByPeer))
	n.Tick(begin)
	require.True(t, n.Ready(), "another instance holds the pool")
	solePlacer, now, _ := solePlacer(t)
	require.True(t, solePlacer.Ready(), "the node holds the pool itself")
	solePlacer.Leave(now)
	require.False(t, solePlacer.Ready())
	require.True(t, solePlacer.Idle())
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
