// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
	"github.com/shelfledge/shelfledge/tools/timeline"
)

const (
	tickInterval = 20 * time.Millisecond
	messageDelay = 2 * time.Millisecond
	// convergenceTime is how long the fleet runs before the measurement, so that all nodes have discovered each other.
	convergenceTime = 6 * time.Second
	measurementTime = 20 * time.Second
	// framingBytes is the overhead of gRPC (5 bytes), HTTP/2 (9) and TCP/IP (40) for each message.
	framingBytes     = 5 + 9 + 40
	basesPerHall     = 3
	slotsPerEndpoint = 8
)

// simFleet runs real nodes on a simulated network without message loss.
type simFleet struct {
	now       time.Time
	nodes     []*simNode
	byAddress map[netip.AddrPort]*simNode
	messages  timeline.Timeline
	resident  map[string][]fleet.AdapterRef
}

// simNode is one node with the processor time and the bytes that it has used.
type simNode struct {
	node    *node.Node
	self    fleet.Instance
	cpuTime time.Duration
	// sent and received count bytes including framing.
	sent     int
	received int
}

// newSimFleet returns a converged fleet with the given number of halls, and of nodes and endpoints in each hall. Each endpoint has an
// adapter resident in each of its slots.
func newSimFleet(halls, nodesPerHall, endpointsPerHall int) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), byAddress: make(map[netip.AddrPort]*simNode), resident: make(map[string][]fleet.AdapterRef)}
	var names []string
	var endpoints []fleet.Endpoint
	var instances []fleet.Instance
	for h := range halls {
		hall := fmt.Sprintf("h%d", h)
		names = append(names, hall)
		for e := range endpointsPerHall {
			endpoints = append(endpoints, f.newEndpoint(hall, e))
		}
		for n := range nodesPerHall {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(h), byte(n / 256), byte(n % 256)}), 7000)
			instances = append(instances, fleet.Instance{ID: fmt.Sprintf("%s-i%03d", hall, n), Hall: hall, Address: address})
		}
	}
	for i, self := range instances {
		s := &simNode{self: self, node: node.New(f.now, nodeOptions(self, uint64(i+1), names, endpoints))}
		f.nodes = append(f.nodes, s)
		f.byAddress[self.Address] = s
		f.applyEffects(s, s.node.SetListed(f.now, instances, nil))
	}
	f.run(convergenceTime)
	for _, s := range f.nodes {
		s.cpuTime, s.sent, s.received = 0, 0, 0
	}
	return f
}

func nodeOptions(self fleet.Instance, boot uint64, halls []string, endpoints []fleet.Endpoint) node.Options {
	m := membership.DefaultOptions()
	return node.Options{
		Self: self, Boot: boot, Halls: halls, Endpoints: endpoints, Classes: []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}},
		Placement: placement.DefaultOptions(), Routing: routing.DefaultOptions(), Membership: m,
		Budget: budget.Limits{LoadsPerSecond: 3, AtFullSpeed: 4}, Timing: node.DefaultTiming(),
	}
}

func (f *simFleet) newEndpoint(hall string, n int) fleet.Endpoint {
	e := fleet.Endpoint{
		Name: fmt.Sprintf("%s-e%d", hall, n), Hall: hall, Kind: fleet.KindEngine, Bases: []string{fmt.Sprintf("base-%d", n%basesPerHall)},
		Slots: slotsPerEndpoint, MaxBatch: 32, Step: 25 * time.Millisecond, Load: time.Second, ChecksFence: true,
	}
	for i := range slotsPerEndpoint {
		f.resident[e.Name] = append(f.resident[e.Name], fleet.AdapterRef{Name: fmt.Sprintf("adapter-%s-%d", e.Name, i), Version: 1})
	}
	return e
}

func (f *simFleet) run(d time.Duration) {
	until := f.now.Add(d)
	for next := f.now; next.Before(until); next = next.Add(tickInterval) {
		f.messages.RunUntil(&f.now, next)
		for _, s := range f.nodes {
			f.runTimed(s, func() []node.Effect { return s.node.Tick(f.now) })
		}
	}
	f.now = until
}

// runTimed runs work of a node, adds its real duration to the node's processor time and applies the resulting effects.
func (f *simFleet) runTimed(s *simNode, work func() []node.Effect) {
	start := time.Now()
	effects := work()
	s.cpuTime += time.Since(start)
	f.applyEffects(s, effects)
}

func (f *simFleet) applyEffects(s *simNode, effects []node.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case node.Send:
			f.send(s, e.Envelope)
		case node.Deliver:
			f.runTimed(s, func() []node.Effect { return s.node.ReturnTicket(f.now, e.Ticket.ID) })
		case node.TakeOverEndpoint:
			taken := node.TakeoverResult{Pool: e.Pool, Term: e.Term, OK: true, Fence: 1, Inspection: f.inspect(e.Endpoint.Name)}
			f.runTimed(s, func() []node.Effect { return s.node.HandleTakeoverResult(f.now, taken) })
		case node.InspectEndpoint:
			f.runTimed(s, func() []node.Effect {
				return s.node.HandleInspection(f.now, e.Pool, e.Term, f.inspect(e.Endpoint.Name))
			})
		}
	}
}

func (f *simFleet) inspect(endpoint string) placement.Inspection {
	return placement.Inspection{Endpoint: endpoint, Incarnation: endpoint, StartedAt: f.now, Up: true, Resident: f.resident[endpoint]}
}

func (f *simFleet) send(s *simNode, e fleet.Envelope) {
	start := time.Now()
	data, err := msgpack.Marshal(&e)
	if err != nil {
		panic(err)
	}
	s.cpuTime += time.Since(start)
	s.sent += len(data) + framingBytes
	to := f.byAddress[e.To]
	if to == nil {
		return
	}
	size := len(data) + framingBytes
	f.messages.Add(f.now.Add(messageDelay), func(now time.Time) {
		to.received += size
		f.runTimed(to, func() []node.Effect { return to.node.Handle(now, e) })
	})
}

// maxCostPerSecond runs the fleet for measurementTime and returns the greatest cost of any node per second of simulated time.
func (f *simFleet) maxCostPerSecond(cost func(*simNode) float64) float64 {
	f.run(measurementTime)
	greatest := 0.0
	for _, s := range f.nodes {
		greatest = max(greatest, cost(s)/measurementTime.Seconds())
	}
	return greatest
}
