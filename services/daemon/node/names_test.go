// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/tests/retained"
)

const (
	// fewNames and manyNames are numbers of names of each kind that are used once.
	fewNames, manyNames = 100, 3000
	// namesPerSecond is how many names of each kind are used in a second.
	namesPerSecond = 10
	// namesPerMember is how many of these names come for each member, since each heartbeat costs as many messages as there are members.
	namesPerMember = 50
)

// namedNode is a node whose endpoint answers at once, for requests and instances that come once.
type namedNode struct {
	node  *node.Node
	now   time.Time
	loads int
}

// newNamedNode returns a node that has taken over the pool of its only endpoint.
func newNamedNode(t *testing.T) *namedNode {
	n, now, order := solePlacer(t)
	d := &namedNode{node: n, now: now}
	d.apply([]node.Effect{order})
	require.Len(t, n.Pools(now), 1)
	return d
}

// apply carries out effects, each with an answer at once. Every other load fails.
func (d *namedNode) apply(effects []node.Effect) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch e := effect.(type) {
		case node.TakeOverEndpoint:
			result := node.TakeoverResult{Pool: e.Pool, Term: e.Term, OK: true, Fence: e.Term, Inspection: d.inspection(e.Endpoint.Name)}
			effects = append(effects, d.node.HandleTakeoverResult(d.now, result)...)
		case node.InspectEndpoint:
			effects = append(effects, d.node.HandleInspection(d.now, e.Pool, e.Term, d.inspection(e.Endpoint.Name))...)
		case node.OrderLoad:
			effects = append(effects, d.node.HandleLoadResult(d.now, d.loadResult(e))...)
		case node.Deliver:
			effects = append(effects, d.node.ReturnTicket(d.now, e.Ticket.ID)...)
		}
	}
}

func (d *namedNode) inspection(endpoint string) placement.Inspection {
	return placement.Inspection{Endpoint: endpoint, Incarnation: endpoint, StartedAt: d.now.Add(-time.Millisecond), Up: true}
}

func (d *namedNode) loadResult(e node.OrderLoad) node.LoadResult {
	d.loads++
	outcome := placement.LoadDone
	if d.loads%2 == 0 {
		outcome = placement.LoadFailed
	}
	return node.LoadResult{
		Pool: e.Load.Pool, Term: e.Term, Endpoint: e.Load.Endpoint, Incarnation: e.Load.Incarnation, Adapter: e.Load.Adapter, Outcome: outcome,
	}
}

// useNames sends requests of callers, classes and adapters with the given number in their names, from this instance and from another one
// that has the number in its name, and at times a heartbeat of a member that leaves.
func (d *namedNode) useNames(number int) {
	r := fleet.Request{
		ID: fmt.Sprint("q", number), Caller: fmt.Sprint("caller", number), Class: fmt.Sprint("class", number), Base: "base",
		Adapter: fleet.AdapterRef{Name: fmt.Sprint("a", number), Version: 1}, PromptTokens: 100, OutputTokens: 100,
		Arrived: d.now, Deadline: d.now.Add(30 * time.Second), Prefix: uint64(number) + 1,
	}
	d.apply(d.node.Submit(d.now, r))
	if number%2 == 0 {
		d.apply(d.node.Withdraw(d.now, r.ID))
	}
	entry := instance(fmt.Sprint("j", number), uint16(number+10))
	remote := r
	remote.ID, remote.Hall = "remote"+r.ID, "h2"
	d.apply(d.node.Handle(d.now, fleet.Envelope{From: entry.ID, Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: remote, Reply: entry.Address, Stamp: time.Second, Wait: 30 * time.Second,
	}}))
	if number%namesPerMember != 0 {
		return
	}
	member := instance(fmt.Sprint("m", number), uint16(number+10))
	d.apply(d.node.Handle(d.now, fleet.Envelope{From: member.ID, Boot: 1, Heartbeat: &fleet.Heartbeat{Instance: member, Stamp: 1, Leaving: true}}))
}

// pass lets time pass in steps.
func (d *namedNode) pass(duration, step time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); {
		d.now = d.now.Add(step)
		d.apply(d.node.Tick(d.now))
	}
}

// TestNodeForgetsNamesUsedOnce guards against any state of a node that is kept by the name of a request, caller, class, adapter, prompt prefix,
// instance or member for good.
func TestNodeForgetsNamesUsedOnce(t *testing.T) {
	after := func(names int) int {
		d := newNamedNode(t)
		for number := range names {
			d.useNames(number)
			if number%namesPerSecond == 0 {
				d.pass(time.Second, time.Second)
			}
		}
		require.Positive(t, d.loads)
		// Longer steps count as pauses of the node, in which it misses heartbeats, and so forgets no member.
		d.pass(time.Hour, 200*time.Millisecond)
		d.pass(24*time.Hour, 10*time.Second)
		return retained.Entries(d.node)
	}
	require.Less(t, after(manyNames)-after(fewNames), fewNames)
}
