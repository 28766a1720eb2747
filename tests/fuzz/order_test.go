// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"time"

	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// lateOrders bounds how many milliseconds an order arrives after its failure was told, a second after it was sent. With
// that it keeps within the margin of assumption A1 (docs/design/0002).
const lateOrders = 1900

// toEndpoint carries something to an endpoint and its answer back; either may be lost, or arrive after the failure was
// told.
func (w *world) toEndpoint(n *fakeNode, e *fakeEndpoint, do func(), answered, failed func()) {
	w.at(w.now.Add(w.delay()), func() {
		if w.isCut(n.id, e.spec.Name) {
			w.atNode(n, w.now.Add(time.Second), failed)
			return
		}
		if w.lossy && w.random.IntN(25) == 0 {
			w.atNode(n, w.now.Add(time.Second), failed)
			w.at(w.now.Add(time.Second+time.Duration(w.random.IntN(lateOrders))*time.Millisecond), do)
			return
		}
		do()
		if w.lossy && w.random.IntN(25) == 0 {
			w.atNode(n, w.now.Add(time.Second), failed)
			return
		}
		w.atNode(n, w.now.Add(w.delay()), answered)
	})
}

func (w *world) take(n *fakeNode, t node.TakeOverEndpoint) {
	e := w.endpoints[t.Endpoint.Name]
	result := node.TakeoverResult{Pool: t.Pool, Term: t.Term, Inspection: placement.Inspection{Endpoint: e.spec.Name}}
	holder := n.life()
	w.toEndpoint(n, e, func() {
		began := n.clock()
		if e.spec.ChecksFence {
			result.Fence = e.fence + 1
			e.fence, e.holder = result.Fence, holder
		}
		w.log("%s obeys %s under %d", e.spec.Name, holder, e.fence)
		result.OK = true
		result.Inspection = e.status(began)
	}, func() { n.do(n.node.HandleTakeoverResult(n.clock(), result)) }, func() {
		result.OK = false
		n.do(n.node.HandleTakeoverResult(n.clock(), result))
	})
}

func (w *world) inspect(n *fakeNode, i node.InspectEndpoint) {
	e := w.endpoints[i.Endpoint.Name]
	began := n.clock()
	in := placement.Inspection{Endpoint: e.spec.Name, StartedAt: began}
	w.toEndpoint(n, e, func() { in = e.status(began) },
		func() { n.do(n.node.HandleInspection(n.clock(), i.Pool, i.Term, in)) },
		func() {
			n.do(n.node.HandleInspection(n.clock(), i.Pool, i.Term, placement.Inspection{Endpoint: e.spec.Name, StartedAt: began}))
		})
}

// order carries out an eviction and a load as the control service does: the right to
// order is looked at right before each write.
func (w *world) order(n *fakeNode, o node.OrderLoad) {
	e := w.endpoints[o.Endpoint.Name]
	l := o.Load
	result := node.LoadResult{Pool: l.Pool, Term: o.Term, Endpoint: l.Endpoint, Incarnation: l.Incarnation, Adapter: l.Adapter, Outcome: placement.LoadDone}
	finish := func(r placement.LoadOutcome, fenced bool) {
		result.Outcome, result.FenceLost = r, fenced
		n.do(n.node.HandleLoadResult(n.clock(), result))
	}
	late := func() bool { return !l.NotAfter.IsZero() && !n.clock().Before(l.NotAfter) }
	load := func() {
		if late() {
			finish(placement.LoadFailed, false)
			return
		}
		outcome, fenced := placement.LoadFailed, false
		w.toEndpoint(n, e, func() {
			if !e.obeys(l.Incarnation, l.Fence, n.life(), true) {
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
	if late() {
		finish(placement.LoadFailed, false)
		return
	}
	ok, fenced := false, false
	w.toEndpoint(n, e, func() {
		if !e.obeys(l.Incarnation, l.Fence, n.life(), true) {
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
