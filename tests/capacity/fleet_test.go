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
	tickEvery   = 20 * time.Millisecond
	messageTime = 2 * time.Millisecond
	// settleTime lets all nodes find one another before anything is measured.
	settleTime  = 6 * time.Second
	measureTime = 20 * time.Second
	// frameBytes is what gRPC, HTTP/2 and TCP/IP add to a message.
	frameBytes = 5 + 9 + 40
	basesAHall = 3
	slots      = 8
)

// simFleet is a number of real nodes joined by a simulated network that loses nothing.
type simFleet struct {
	now       time.Time
	nodes     []*simNode
	byAddress map[netip.AddrPort]*simNode
	messages  timeline.Timeline
	resident  map[string][]fleet.AdapterRef
}

// simNode is one node with the processor time and bytes that it cost.
type simNode struct {
	node      *node.Node
	self      fleet.Instance
	processor time.Duration
	// sent and received are bytes with their framing.
	sent     int
	received int
}

// newSimFleet makes halls of nodes and endpoints; the endpoints hold as many adapters as they have slots.
func newSimFleet(halls, nodesAHall, endpointsAHall int) *simFleet {
	f := &simFleet{now: time.Unix(1000, 0), byAddress: make(map[netip.AddrPort]*simNode), resident: make(map[string][]fleet.AdapterRef)}
	var names []string
	var endpoints []fleet.Endpoint
	var instances []fleet.Instance
	for h := range halls {
		hall := fmt.Sprintf("h%d", h)
		names = append(names, hall)
		for e := range endpointsAHall {
			endpoints = append(endpoints, f.endpoint(hall, e))
		}
		for n := range nodesAHall {
			at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(h), byte(n / 256), byte(n % 256)}), 7000)
			instances = append(instances, fleet.Instance{ID: fmt.Sprintf("%s-i%03d", hall, n), Hall: hall, Address: at})
		}
	}
	for i, self := range instances {
		s := &simNode{self: self, node: node.New(f.now, options(self, uint64(i+1), names, endpoints))}
		f.nodes = append(f.nodes, s)
		f.byAddress[self.Address] = s
		f.carryOut(s, s.node.SetListed(f.now, instances, nil))
	}
	f.run(settleTime)
	for _, s := range f.nodes {
		s.processor, s.sent, s.received = 0, 0, 0
	}
	return f
}

func options(self fleet.Instance, boot uint64, halls []string, endpoints []fleet.Endpoint) node.Options {
	m := membership.DefaultOptions()
	return node.Options{
		Self: self, Boot: boot, Halls: halls, Endpoints: endpoints, Classes: []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}},
		Placement: placement.DefaultOptions(), Routing: routing.DefaultOptions(), Membership: m,
		Budget: budget.Limits{LoadsPerSecond: 3, AtFullSpeed: 4}, Timing: node.DefaultTiming(),
	}
}

func (f *simFleet) endpoint(hall string, n int) fleet.Endpoint {
	e := fleet.Endpoint{
		Name: fmt.Sprintf("%s-e%d", hall, n), Hall: hall, Kind: fleet.KindEngine, Bases: []string{fmt.Sprintf("base-%d", n%basesAHall)},
		Slots: slots, MaxBatch: 32, Step: 25 * time.Millisecond, Load: time.Second, ChecksFence: true,
	}
	for i := range slots {
		f.resident[e.Name] = append(f.resident[e.Name], fleet.AdapterRef{Name: fmt.Sprintf("adapter-%s-%d", e.Name, i), Version: 1})
	}
	return e
}

func (f *simFleet) run(d time.Duration) {
	until := f.now.Add(d)
	for next := f.now; next.Before(until); next = next.Add(tickEvery) {
		f.messages.RunUntil(&f.now, next)
		for _, s := range f.nodes {
			f.act(s, func() []node.Effect { return s.node.Tick(f.now) })
		}
	}
	f.now = until
}

// act lets a node work and counts the time.
func (f *simFleet) act(s *simNode, work func() []node.Effect) {
	began := time.Now()
	effects := work()
	s.processor += time.Since(began)
	f.carryOut(s, effects)
}

func (f *simFleet) carryOut(s *simNode, effects []node.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case node.Send:
			f.send(s, e.Envelope)
		case node.Deliver:
			f.act(s, func() []node.Effect { return s.node.ReturnTicket(f.now, e.Ticket.ID) })
		case node.TakeOverEndpoint:
			result := node.TakeoverResult{Pool: e.Pool, Term: e.Term, OK: true, Fence: 1, Inspection: f.inspect(e.Endpoint.Name)}
			f.act(s, func() []node.Effect { return s.node.HandleTakeoverResult(f.now, result) })
		case node.InspectEndpoint:
			f.act(s, func() []node.Effect {
				return s.node.HandleInspection(f.now, e.Pool, e.Term, f.inspect(e.Endpoint.Name))
			})
		}
	}
}

func (f *simFleet) inspect(endpoint string) placement.Inspection {
	return placement.Inspection{Endpoint: endpoint, Incarnation: endpoint, StartedAt: f.now, Up: true, Resident: f.resident[endpoint]}
}

func (f *simFleet) send(s *simNode, e fleet.Envelope) {
	began := time.Now()
	data, err := msgpack.Marshal(&e)
	if err != nil {
		panic(err)
	}
	s.processor += time.Since(began)
	s.sent += len(data) + frameBytes
	to := f.byAddress[e.To]
	if to == nil {
		return
	}
	size := len(data) + frameBytes
	f.messages.Add(f.now.Add(messageTime), func(now time.Time) {
		to.received += size
		f.act(to, func() []node.Effect { return to.node.Handle(now, e) })
	})
}

// most gives the greatest cost of a node, per second of the measured time.
func (f *simFleet) most(cost func(*simNode) float64) float64 {
	f.run(measureTime)
	greatest := 0.0
	for _, s := range f.nodes {
		greatest = max(greatest, cost(s)/measureTime.Seconds())
	}
	return greatest
}
