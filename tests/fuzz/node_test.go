// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// fakeNode is one instance: a real node with a clock of its own.
type fakeNode struct {
	world    *world
	id       string
	hall     string
	boot     uint64
	options  node.Options
	node     *node.Node
	offset   time.Duration
	paused   bool
	backlog  []func()
	dead     bool
	leaving  bool
	watching bool
	open     map[string]*fakeRequest
}

func (n *fakeNode) life() string {
	return fmt.Sprintf("%s/%d", n.id, n.boot)
}

// clock gives the node's own time, which differs from all others.
func (n *fakeNode) clock() time.Time {
	return n.world.now.Add(n.offset)
}

func addressOf(id string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, id[1] - '0', id[4] - '0'}), 7000)
}

func instance(id string) fleet.Instance {
	return fleet.Instance{ID: id, Hall: id[:2], Address: addressOf(id)}
}

// startNode begins a new life of an instance with nothing in hand.
func (w *world) startNode(id string) {
	w.boots++
	n := &fakeNode{
		world: w, id: id, hall: id[:2], boot: w.boots, offset: time.Duration(w.random.IntN(1000)) * time.Hour, open: make(map[string]*fakeRequest),
	}
	o := placement.DefaultOptions()
	o.LoadTimeout = 4 * time.Second
	n.options = node.Options{
		Self: instance(id), Boot: n.boot, Halls: hallNames, Endpoints: endpointSpecs(),
		Classes:   []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}},
		Placement: o, Routing: routing.DefaultOptions(), Membership: membership.DefaultOptions(),
		Budget: budget.Limits{LoadsPerSecond: 20, AtFullSpeed: 6}, Timing: node.DefaultTiming(), Defects: w.defects,
	}
	n.node = node.New(n.clock(), n.options)
	w.log("start %s", n.life())
	w.nodes[id] = n
	w.scheduleTick(n)
	w.at(w.now.Add(pollList), func() { w.poll(n) })
}

func (w *world) scheduleTick(n *fakeNode) {
	w.at(w.now.Add(tick), func() {
		if n.dead {
			return
		}
		if !n.paused {
			n.do(n.node.Tick(n.clock()))
			n.finishLeaving()
			w.oracle.inForce(n.life(), n.revision())
		}
		w.scheduleTick(n)
	})
}

func (n *fakeNode) revision() int64 {
	revision, _ := n.node.Revision()
	return revision
}

// atNode runs something in a life of a node: not after its end, and not while it is paused.
func (w *world) atNode(n *fakeNode, at time.Time, run func()) {
	w.at(at, func() { n.enter(run) })
}

func (n *fakeNode) enter(run func()) {
	if n.dead {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, run)
		return
	}
	run()
}

func (n *fakeNode) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, run := range backlog {
		n.enter(run)
	}
}

// do carries a node's effects out.
func (n *fakeNode) do(effects []node.Effect) {
	w := n.world
	for _, effect := range effects {
		switch e := effect.(type) {
		case node.Send:
			w.send(n, e.Envelope)
		case node.Deliver:
			w.deliver(n, e)
		case node.Reject:
			w.reject(n, e.RequestID)
		case node.RecordEvent:
			w.log("%s %s %s %s %s %s: %s", n.id, e.Event.Kind, e.Event.Pool, e.Event.Endpoint, e.Event.Adapter, e.Event.Request, e.Event.Cause)
		case node.TakeOverEndpoint:
			w.take(n, e)
		case node.InspectEndpoint:
			w.inspect(n, e)
		case node.OrderLoad:
			w.order(n, e)
		case node.AcquireOwner:
			w.kv.acquire(n, e)
		case node.ReleaseOwner:
			w.kv.release(n, e.Pool)
		case node.SettleOwner:
			w.kv.settle(n, e.Pool)
		case node.RenewLease:
			w.kv.renew(n)
		case node.WatchConfiguration:
			n.watching = e.On
			w.watch(n)
		}
	}
}

// watch reads the configuration now and then while the node is its hall's watcher.
func (w *world) watch(n *fakeNode) {
	if !n.watching || n.dead {
		return
	}
	w.kv.follow(n, false)
	w.at(w.now.Add(500*time.Millisecond), func() { w.watch(n) })
}
