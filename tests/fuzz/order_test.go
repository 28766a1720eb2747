// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"time"

	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// maxOrderDelayMS bounds by how many milliseconds an order arrives after the node was notified of its failure, which happens one second after
// the order was sent. With this bound the delay stays within the margin of assumption A1 (docs/design/0002).
const maxOrderDelayMS = 1900

// callEndpoint delivers a call of a node to an endpoint and the answer to the node. do carries the call out, then answered runs at the node.
// If the call or the answer is lost, failed runs instead; a lost call may still arrive after failed has run.
func (s *simulation) callEndpoint(n *fakeNode, e *fakeEndpoint, do func(), answered, failed func()) {
	s.schedule(s.now.Add(s.delay()), func() {
		if s.isCut(n.id, e.spec.Name) {
			s.scheduleOnNode(n, s.now.Add(time.Second), failed)
			return
		}
		if s.lossy && s.random.IntN(25) == 0 {
			s.scheduleOnNode(n, s.now.Add(time.Second), failed)
			s.schedule(s.now.Add(time.Second+time.Duration(s.random.IntN(maxOrderDelayMS))*time.Millisecond), do)
			return
		}
		do()
		if s.lossy && s.random.IntN(25) == 0 {
			s.scheduleOnNode(n, s.now.Add(time.Second), failed)
			return
		}
		s.scheduleOnNode(n, s.now.Add(s.delay()), answered)
	})
}

func (s *simulation) take(n *fakeNode, t node.TakeOverEndpoint) {
	e := s.endpoints[t.Endpoint.Name]
	result := node.TakeoverResult{Pool: t.Pool, Term: t.Term, Inspection: placement.Inspection{Endpoint: e.spec.Name}}
	holder := n.lifeID()
	s.callEndpoint(n, e, func() {
		startedAt := n.clock()
		if e.spec.ChecksFence {
			result.Fence = e.fence + 1
			e.fence, e.holder = result.Fence, holder
		}
		s.logStep("%s is taken by %s with fence %d", e.spec.Name, holder, e.fence)
		result.OK = true
		result.Inspection = e.inspection(startedAt)
	}, func() { n.applyEffects(n.node.HandleTakeoverResult(n.clock(), result)) }, func() {
		result.OK = false
		n.applyEffects(n.node.HandleTakeoverResult(n.clock(), result))
	})
}

func (s *simulation) inspect(n *fakeNode, i node.InspectEndpoint) {
	e := s.endpoints[i.Endpoint.Name]
	startedAt := n.clock()
	in := placement.Inspection{Endpoint: e.spec.Name, StartedAt: startedAt}
	s.callEndpoint(n, e, func() { in = e.inspection(startedAt) },
		func() { n.applyEffects(n.node.HandleInspection(n.clock(), i.Pool, i.Term, in)) },
		func() {
			n.applyEffects(n.node.HandleInspection(n.clock(), i.Pool, i.Term, placement.Inspection{Endpoint: e.spec.Name, StartedAt: startedAt}))
		})
}

// order carries out an eviction and a load as the control service does. The deadline of the order is checked immediately before each write.
func (s *simulation) order(n *fakeNode, o node.OrderLoad) {
	e := s.endpoints[o.Endpoint.Name]
	l := o.Load
	result := node.LoadResult{Pool: l.Pool, Term: o.Term, Endpoint: l.Endpoint, Incarnation: l.Incarnation, Adapter: l.Adapter, Outcome: placement.LoadDone}
	finish := func(r placement.LoadOutcome, fenced bool) {
		result.Outcome, result.FenceLost = r, fenced
		n.applyEffects(n.node.HandleLoadResult(n.clock(), result))
	}
	expired := func() bool { return !l.NotAfter.IsZero() && !n.clock().Before(l.NotAfter) }
	load := func() {
		if expired() {
			finish(placement.LoadFailed, false)
			return
		}
		outcome, fenced := placement.LoadFailed, false
		s.callEndpoint(n, e, func() {
			if !e.accepts(l.Incarnation, l.Fence, n.lifeID(), true) {
				fenced = true
				return
			}
			if e.load(l.Adapter.String()) {
				outcome = placement.LoadDone
			}
		}, func() { finish(outcome, fenced) }, func() { finish(placement.LoadUnknown, false) })
	}
	if l.Evict.IsZero() {
		load()
		return
	}
	if expired() {
		finish(placement.LoadFailed, false)
		return
	}
	ok, fenced := false, false
	s.callEndpoint(n, e, func() {
		if !e.accepts(l.Incarnation, l.Fence, n.lifeID(), true) {
			fenced = true
			return
		}
		ok = e.unload(l.Evict.String())
	}, func() {
		if !ok {
			finish(placement.LoadFailed, fenced)
			return
		}
		load()
	}, func() { finish(placement.LoadUnknown, false) })
}
