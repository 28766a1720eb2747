// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

var begin = time.Unix(1000, 0)

func instance(id string, port uint16) fleet.Instance {
	return fleet.Instance{ID: id, Hall: "h1", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)}
}

func newNode() *node.Node {
	return node.New(begin, node.Options{
		Self: instance("i1", 1), Boot: 5, Halls: []string{"h1", "h2"},
		Endpoints: []fleet.Endpoint{
			{Name: "e1", Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: 2, MaxBatch: 4, ChecksFence: true},
			{Name: "e2", Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: 2, MaxBatch: 4},
		},
		Placement: placement.DefaultOptions(), Routing: routing.DefaultOptions(), Membership: membership.DefaultOptions(),
		Budget: budget.Limits{LoadsPerSecond: 10, AtFullSpeed: 2}, Timing: node.DefaultTiming(),
	})
}

func effectsOf[T node.Effect](effects []node.Effect) []T {
	var out []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// solePlacer returns a node that is its hall's only instance and has begun to take its pool over.
func solePlacer(t *testing.T) (*node.Node, time.Time, node.TakeOverEndpoint) {
	n := newNode()
	now := begin.Add(2 * time.Second)
	orders := effectsOf[node.TakeOverEndpoint](n.Tick(now))
	require.Len(t, orders, 2)
	return n, now, orders[0]
}

// peerHeartbeat returns a heartbeat of the hall's other instance, i2, in its first run.
func peerHeartbeat(held ...fleet.HeldPool) fleet.Envelope {
	return fleet.Envelope{From: "i2", Boot: 1, Heartbeat: &fleet.Heartbeat{Instance: instance("i2", 2), Stamp: 1, HeldPools: held}}
}

func TestNodeTakesNoPoolOverBeforeTakeoverDelay(t *testing.T) {
	n := newNode()
	require.Empty(t, effectsOf[node.TakeOverEndpoint](n.Tick(begin.Add(time.Second))))
	n.Handle(begin.Add(1200*time.Millisecond), peerHeartbeat(fleet.HeldPool{Pool: "h1/base", Term: 9}))
	require.Empty(t, effectsOf[node.TakeOverEndpoint](n.Tick(begin.Add(2*time.Second))), "another instance holds the pool")
}

func TestPlacerWithLowerTermReleasesPool(t *testing.T) {
	n, now, _ := solePlacer(t)
	effects := n.Handle(now.Add(time.Millisecond), peerHeartbeat(fleet.HeldPool{Pool: "h1/base", Term: 1 << 40}))
	var released []*fleet.Release
	for _, s := range effectsOf[node.Send](effects) {
		if s.Envelope.Release != nil {
			released = append(released, s.Envelope.Release)
		}
	}
	require.Len(t, released, 1)
	require.NotEmpty(t, effectsOf[node.ReleaseOwner](effects), "the ownership is released for the successor")
	require.Empty(t, n.Pools(now))
}

func TestOldGrantIsNotDelivered(t *testing.T) {
	n := newNode()
	now := begin.Add(2 * time.Second)
	n.Handle(now, peerHeartbeat(fleet.HeldPool{Pool: "h1/base", Term: 9}))
	n.Submit(now, fleet.Request{ID: "q", Base: "base", Adapter: fleet.AdapterRef{Name: "a", Version: 1}, Deadline: now.Add(time.Minute)})
	ticket := fleet.Ticket{ID: "t", RequestID: "q", Pool: "h1/base", Endpoint: "e1", StartWithin: time.Second}
	late := now.Add(10 * time.Second)
	old := n.Handle(late, fleet.Envelope{From: "i2", Boot: 1, Granted: &fleet.Granted{Ticket: ticket, Stamp: 2 * time.Second}})
	require.Empty(t, effectsOf[node.Deliver](old), "the grant is up to 10 s old by the entry's own clock")
	fresh := n.Handle(late, fleet.Envelope{From: "i2", Boot: 1, Granted: &fleet.Granted{Ticket: ticket, Stamp: 11 * time.Second}})
	require.Len(t, effectsOf[node.Deliver](fresh), 1)
	again := n.Handle(late, fleet.Envelope{From: "i2", Boot: 1, Granted: &fleet.Granted{Ticket: fleet.Ticket{ID: "t2", RequestID: "q", Pool: "h1/base"}, Stamp: 11 * time.Second}})
	require.Empty(t, effectsOf[node.Deliver](again), "a second ticket for the same request is returned")
	require.NotEmpty(t, effectsOf[node.Send](again))
}

func TestOlderConfigurationOnlyRecordsEvent(t *testing.T) {
	n := newNode()
	effects := n.ApplyRecords(begin, fleet.Records{Head: -1})
	require.Empty(t, effectsOf[node.PublishCatalog](effects))
	notes := effectsOf[node.RecordEvent](effects)
	require.Len(t, notes, 1)
	require.Equal(t, fleet.EventRevisionBehind, notes[0].Event.Kind)
}

// FuzzHandle passes arbitrary decodable peer messages to a node.
func FuzzHandle(f *testing.F) {
	for _, e := range []fleet.Envelope{
		peerHeartbeat(fleet.HeldPool{Pool: "h1/base", Term: 9}),
		{From: "i2", Submit: &fleet.Submit{Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base"}}},
		{From: "i2", Granted: &fleet.Granted{Ticket: fleet.Ticket{ID: "t"}}},
		{From: "i2", Digest: &fleet.Digest{Hall: "h2", Pools: []fleet.PoolSummary{{Pool: "h1/base", Full: true}}}},
		{From: "i2", Records: &fleet.Records{Head: 3, Snapshot: []byte("x"), Records: [][]byte{{1}}}},
		{From: "i2", Release: &fleet.Release{Pool: "h1/base", Term: 1 << 62}},
	} {
		data, err := msgpack.Marshal(&e)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var e fleet.Envelope
		if msgpack.Unmarshal(data, &e) != nil {
			return
		}
		n := newNode()
		now := begin.Add(2 * time.Second)
		n.Tick(now)
		n.Handle(now, e)
		n.Tick(now.Add(time.Second))
	})
}

func TestHandoverCountsOnlyForRunThatMadeIt(t *testing.T) {
	n := newNode()
	now := begin.Add(2 * time.Second)
	n.Handle(now, peerHeartbeat(fleet.HeldPool{Pool: "h1/base", Term: 9}))
	n.Handle(now, fleet.Envelope{From: "i2", Boot: 1, Release: &fleet.Release{Pool: "h1/base", Term: 9}})
	require.Len(t, n.Pools(now), 1)
	asked := effectsOf[node.AcquireOwner](n.Tick(now))
	require.Len(t, asked, 1)
	owned := func(at time.Time, lease uint64, formers ...node.FormerOwner) bool {
		effects := n.HandleOwnerResult(at, node.OwnerResult{Pool: "h1/base", Term: asked[0].Term, OK: true, Lease: lease, SentAt: at, FormerOwners: formers})
		for _, note := range effectsOf[node.RecordEvent](effects) {
			if note.Event.Kind == fleet.EventFreeze && note.Event.Endpoint == "e2" {
				return false
			}
		}
		return true
	}
	require.True(t, owned(now, 1, node.FormerOwner{ID: "i2", Boot: 1}), "the run that handed the pool over no longer grants")
	n.HandleLeaseResult(now.Add(20*time.Second), node.LeaseResult{Expired: true, Lease: 1})
	require.False(t, owned(now.Add(21*time.Second), 2, node.FormerOwner{ID: "i2", Boot: 2}), "a later run owned the pool in between and may still grant")
}
