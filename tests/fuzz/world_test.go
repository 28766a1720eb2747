// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/budget"
	"github.com/shelfledge/shelfledge/services/membership"
	"github.com/shelfledge/shelfledge/services/node"
	"github.com/shelfledge/shelfledge/services/placement"
	"github.com/shelfledge/shelfledge/services/routing"
)

// world joins several nodes by a list of messages, with fakes for all else.
type world struct {
	now       time.Time
	random    *rand.Rand
	events    eventHeap
	serial    int
	oracle    *oracle
	nodes     map[string]*fakeNode
	endpoints map[string]*fakeEndpoint
	kv        *fakeKV
	cuts      map[string]bool
	requests  map[string]*fakeRequest
	defects   node.Defects
	traffic   trafficDefects
	lossy     bool
	boots     uint64
	counter   int
	leavers   []string
	history   []string
	lists     []listState
}

const keptHistory = 200

// log keeps the last steps, to be shown with a violation.
func (w *world) log(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Sub(time.Unix(1000, 0)).Seconds()) + fmt.Sprintf(format, args...)
	w.history = append(w.history, line)
	if len(w.history) > keptHistory {
		w.history = w.history[1:]
	}
}

// trafficDefects are faults of the traffic side, for the proof that the oracle finds them.
type trafficDefects struct {
	retryOnce     bool
	unknownNotRun bool
	wrongAnswer   bool
	wrongAdapter  bool
	dropOnStop    bool
}

// event is something that is to happen.
type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

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

var hallNames = []string{"h1", "h2"}

const tick = 50 * time.Millisecond

func newWorld(seed uint64, d node.Defects, t trafficDefects) *world {
	w := &world{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), oracle: newOracle(), nodes: make(map[string]*fakeNode),
		endpoints: make(map[string]*fakeEndpoint), cuts: make(map[string]bool), requests: make(map[string]*fakeRequest), defects: d, traffic: t,
	}
	w.kv = newFakeKV(w)
	for _, spec := range endpointSpecs() {
		w.endpoints[spec.Name] = &fakeEndpoint{
			world: w, spec: spec, incarnation: 1, resident: make(map[string]bool), lastRun: make(map[string]time.Time), running: make(map[string]*fakeRun),
		}
	}
	for _, id := range []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2"} {
		w.startNode(id)
	}
	w.publishList()
	w.advance(4 * time.Second)
	return w
}

func endpointSpecs() []fleet.Endpoint {
	spec := func(name, hall string, checks bool) fleet.Endpoint {
		return fleet.Endpoint{
			Name: name, Hall: hall, Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: 2, MaxBatch: 3, Step: 20 * time.Millisecond,
			Load: 300 * time.Millisecond, ChecksFence: checks,
		}
	}
	return []fleet.Endpoint{spec("h1-e1", "h1", true), spec("h1-e2", "h1", false), spec("h2-e1", "h2", true)}
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

func (w *world) at(at time.Time, run func()) {
	w.serial++
	heap.Push(&w.events, event{at: at, serial: w.serial, run: run})
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

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	until := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

// delay draws the time that a message takes; a few take very long.
func (w *world) delay() time.Duration {
	d := time.Duration(1+w.random.IntN(10)) * time.Millisecond
	if w.lossy && w.random.IntN(20) == 0 {
		d += time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	return d
}

func (w *world) isCut(a, b string) bool {
	return w.cuts[a+"|"+b] || w.cuts[b+"|"+a]
}

// send puts an envelope on its way: it may be lost, late, doubled and overtaken.
func (w *world) send(from *fakeNode, e fleet.Envelope) {
	copies := 1
	if w.lossy {
		switch w.random.IntN(12) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		w.at(w.now.Add(w.delay()), func() { w.arrive(from.id, e) })
	}
}

func (w *world) arrive(from string, e fleet.Envelope) {
	for _, n := range w.sortedNodes() {
		if addressOf(n.id) == e.To && !w.isCut(from, n.id) {
			n.enter(func() { n.do(n.node.Handle(n.clock(), e)) })
		}
	}
}

func (w *world) sortedNodes() []*fakeNode {
	out := make([]*fakeNode, 0, len(w.nodes))
	for _, n := range w.nodes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
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
		case node.Note:
			w.log("%s %s %s %s %s %s: %s", n.id, e.Event.Kind, e.Event.Pool, e.Event.Endpoint, e.Event.Adapter, e.Event.Request, e.Event.Cause)
		case node.Take:
			w.take(n, e)
		case node.Inspect:
			w.inspect(n, e)
		case node.Order:
			w.order(n, e)
		case node.AcquireOwner:
			w.kv.acquire(n, e.Pool)
		case node.ReleaseOwner:
			w.kv.release(n, e.Pool)
		case node.SettleOwner:
			w.kv.settle(n, e.Pool)
		case node.RenewLease:
			w.kv.renew(n)
		case node.Watch:
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

// toEndpoint carries something to an endpoint and its answer back; either may be lost.
func (w *world) toEndpoint(n *fakeNode, e *fakeEndpoint, do func(), answered, failed func()) {
	w.at(w.now.Add(w.delay()), func() {
		if w.isCut(n.id, e.spec.Name) {
			w.atNode(n, w.now.Add(time.Second), failed)
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

func (w *world) take(n *fakeNode, t node.Take) {
	e := w.endpoints[t.Endpoint.Name]
	result := node.TakeResult{Pool: t.Pool, Term: t.Term, Inspection: placement.Inspection{Endpoint: e.spec.Name}}
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
	}, func() { n.do(n.node.Taken(n.clock(), result)) }, func() {
		result.OK = false
		n.do(n.node.Taken(n.clock(), result))
	})
}

func (w *world) inspect(n *fakeNode, i node.Inspect) {
	e := w.endpoints[i.Endpoint.Name]
	began := n.clock()
	in := placement.Inspection{Endpoint: e.spec.Name, Began: began}
	w.toEndpoint(n, e, func() { in = e.status(began) },
		func() { n.do(n.node.Inspected(n.clock(), i.Pool, i.Term, in)) },
		func() {
			n.do(n.node.Inspected(n.clock(), i.Pool, i.Term, placement.Inspection{Endpoint: e.spec.Name, Began: began}))
		})
}

// order carries out an eviction and a load as the control service does: the right to
// order is looked at right before each write.
func (w *world) order(n *fakeNode, o node.Order) {
	e := w.endpoints[o.Endpoint.Name]
	l := o.Load
	result := node.LoadResult{Pool: l.Pool, Term: o.Term, Endpoint: l.Endpoint, Incarnation: l.Incarnation, Adapter: l.Adapter, Result: placement.LoadDone}
	finish := func(r placement.LoadResult, fenced bool) {
		result.Result, result.FenceLost = r, fenced
		n.do(n.node.Loaded(n.clock(), result))
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

// listState is the platform's list from some moment on.
type listState struct {
	at        time.Time
	instances []fleet.Instance
	leaving   []string
}

// publishList brings the platform's list up to date.
func (w *world) publishList() {
	state := listState{at: w.now, leaving: append([]string(nil), w.leavers...)}
	for _, n := range w.sortedNodes() {
		if !n.dead {
			state.instances = append(state.instances, instance(n.id))
		}
	}
	w.lists = append(w.lists, state)
}

const (
	pollList = 500 * time.Millisecond
	listLag  = 1500
)

// poll reads the list as it was a while ago; a later look may show an older state.
func (w *world) poll(n *fakeNode) {
	if n.dead {
		return
	}
	seen := w.now.Add(-time.Duration(w.random.IntN(listLag)) * time.Millisecond)
	var state listState
	for _, l := range w.lists {
		if len(state.instances) == 0 || !l.at.After(seen) {
			state = l
		}
	}
	n.enter(func() { n.do(n.node.SetListed(n.clock(), state.instances, state.leaving)) })
	w.at(w.now.Add(pollList), func() { w.poll(n) })
}
