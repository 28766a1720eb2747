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

// fakeNode is one run of an instance: a real node with its own clock.
type fakeNode struct {
	sim         *simulation
	id          string
	hall        string
	boot        uint64
	options     node.Options
	node        *node.Node
	clockOffset time.Duration
	paused      bool
	// backlog holds the functions that are due while the node is paused.
	backlog      []func()
	dead         bool
	leaving      bool
	watching     bool
	openRequests map[string]*fakeRequest
}

// lifeID identifies this run of the instance, from a start to its end.
func (n *fakeNode) lifeID() string {
	return fmt.Sprintf("%s/%d", n.id, n.boot)
}

// clock returns the time of the node's own clock, which is offset from the clocks of other nodes.
func (n *fakeNode) clock() time.Time {
	return n.sim.now.Add(n.clockOffset)
}

func addressOf(id string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, id[1] - '0', id[4] - '0'}), 7000)
}

func newInstance(id string) fleet.Instance {
	return fleet.Instance{ID: id, Hall: id[:2], Address: addressOf(id)}
}

// startNode starts a new run of an instance without any state of former runs.
func (s *simulation) startNode(id string) {
	s.bootCount++
	n := &fakeNode{
		sim: s, id: id, hall: id[:2], boot: s.bootCount, clockOffset: time.Duration(s.random.IntN(1000)) * time.Hour, openRequests: make(map[string]*fakeRequest),
	}
	o := placement.DefaultOptions()
	o.LoadTimeout = 4 * time.Second
	n.options = node.Options{
		Self: newInstance(id), Boot: n.boot, Halls: hallNames, Endpoints: endpointSpecs(),
		Classes:   []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}},
		Placement: o, Routing: routing.DefaultOptions(), Membership: membership.DefaultOptions(),
		Budget: budget.Limits{LoadsPerSecond: 20, AtFullSpeed: 6}, Timing: node.DefaultTiming(), Defects: s.nodeDefects,
	}
	n.node = node.New(n.clock(), n.options)
	s.logStep("start %s", n.lifeID())
	s.nodes[id] = n
	s.scheduleTick(n)
	s.schedule(s.now.Add(listPollInterval), func() { s.pollInstanceList(n) })
}

func (s *simulation) scheduleTick(n *fakeNode) {
	s.schedule(s.now.Add(tickInterval), func() {
		if n.dead {
			return
		}
		if !n.paused {
			n.applyEffects(n.node.Tick(n.clock()))
			n.finishLeaving()
			s.oracle.recordRevision(n.lifeID(), n.revision())
		}
		s.scheduleTick(n)
	})
}

func (n *fakeNode) revision() int64 {
	revision, _ := n.node.Revision()
	return revision
}

// scheduleOnNode schedules a function of a node. It does not run after the node's end, and only after the end of a pause.
func (s *simulation) scheduleOnNode(n *fakeNode, at time.Time, run func()) {
	s.schedule(at, func() { n.runWhenActive(run) })
}

func (n *fakeNode) runWhenActive(run func()) {
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
		n.runWhenActive(run)
	}
}

// applyEffects carries out the effects of a node.
func (n *fakeNode) applyEffects(effects []node.Effect) {
	s := n.sim
	for _, effect := range effects {
		switch e := effect.(type) {
		case node.Send:
			s.send(n, e.Envelope)
		case node.Deliver:
			s.deliver(n, e)
		case node.Reject:
			s.reject(n, e.RequestID)
		case node.RecordEvent:
			s.logStep("%s %s %s %s %s %s: %s", n.id, e.Event.Kind, e.Event.Pool, e.Event.Endpoint, e.Event.Adapter, e.Event.Request, e.Event.Cause)
		case node.TakeOverEndpoint:
			s.take(n, e)
		case node.InspectEndpoint:
			s.inspect(n, e)
		case node.OrderLoad:
			s.order(n, e)
		case node.AcquireOwner:
			s.kv.acquire(n, e)
		case node.ReleaseOwner:
			s.kv.release(n, e.Pool)
		case node.SettleOwner:
			s.kv.clearFormerOwners(n, e.Pool)
		case node.RenewLease:
			s.kv.renew(n)
		case node.WatchConfiguration:
			n.watching = e.On
			s.pollConfiguration(n)
		}
	}
}

// pollConfiguration reads the configuration every 500 ms while the node is the watcher of its hall.
func (s *simulation) pollConfiguration(n *fakeNode) {
	if !n.watching || n.dead {
		return
	}
	s.kv.sendConfiguration(n, false)
	s.schedule(s.now.Add(500*time.Millisecond), func() { s.pollConfiguration(n) })
}
