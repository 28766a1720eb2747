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

// held is the announcement of the hall's pool under a term above that of a first takeover.
var held = fleet.HeldPool{Pool: "h1/base", Term: 9}

func digestOfH2(revision int64) fleet.Envelope {
	speaker := fleet.Instance{ID: "j1", Hall: "h2"}
	return fleet.Envelope{From: "j1", Digest: &fleet.Digest{Hall: "h2", Speaker: speaker, Revision: revision, HighestRevision: revision}}
}

func TestViewOfHalls(t *testing.T) {
	n := newNode()
	halls := n.Halls(begin)
	require.Len(t, halls, 2)
	require.Equal(t, node.HallView{Hall: "h1", Speaker: instance("i1", 1)}, halls[0])
	require.Equal(t, node.HallView{Hall: "h2", Cut: true}, halls[1], "never heard")

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
			Hall: "h2", Revision: 4, Age: row.after, Cut: row.cut, Speaker: fleet.Instance{ID: "j1", Hall: "h2"},
		}, n.Halls(now)[1])
	}
	here, highest := n.Revision()
	require.Zero(t, here, "to hear of a revision puts nothing in force")
	require.EqualValues(t, 4, highest)
}

func TestViewOfInstances(t *testing.T) {
	n := newNode()
	n.SetListed(begin, []fleet.Instance{instance("i1", 1), instance("i3", 3)}, nil)
	n.Handle(begin.Add(time.Second), heartbeat(held))
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
	require.Empty(t, n.Peers(), "silent for longer than 1.2 s")
	lost := n.Instances(now)[1]
	require.False(t, lost.Alive)
	require.Empty(t, lost.Pools, "what it held is not known any more")
}

func TestReadyOnceThePoolsOfTheHallHaveAHolder(t *testing.T) {
	n := newNode()
	require.False(t, n.Ready())
	n.Handle(begin, heartbeat(held))
	n.Tick(begin)
	require.True(t, n.Ready(), "another holds the pool")
	alone, now, _ := alone(t)
	require.True(t, alone.Ready(), "the node holds it itself")
	alone.Leave(now)
	require.False(t, alone.Ready())
	require.True(t, alone.Idle())
}

func TestViewOfPoolsShowsOnlyWhatTheNodeHolds(t *testing.T) {
	n, now, take := alone(t)
	pools := n.Pools(now)
	require.Len(t, pools, 1)
	require.EqualValues(t, 5, pools[0].Term, "the boot, for want of an earlier term")
	require.Len(t, pools[0].Endpoints, 2)
	require.False(t, pools[0].Endpoints[0].Up, "not taken yet")
	result := node.TakeResult{
		Pool: "h1/base", Term: 5, OK: true, Fence: 1 << 16,
		Inspection: placement.Inspection{Endpoint: take.Endpoint.Name, Incarnation: "e1-1", Began: now, Up: true},
	}
	n.Taken(now, result)
	require.True(t, n.Pools(now)[0].Endpoints[0].Up)
	require.Empty(t, n.Taken(now, result), "a repeated answer changes nothing")
	result.Term = 4
	require.Empty(t, n.Taken(now, result), "nor does a late one, of an earlier term")
	n.Handle(now, heartbeat(held))
	require.Empty(t, n.Pools(now))
}
