// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// fakeRequest is one caller's request on its way.
type fakeRequest struct {
	id      string
	onceID  string
	adapter fleet.AdapterRef
	entry   *fakeNode
	length  time.Duration
	attempt int
	ticket  fleet.Ticket
	running bool
	done    bool
	leftBy  bool
	// mayHaveRun is what the real relay keeps: an earlier attempt had an unknown end.
	mayHaveRun bool
}

const maxAttempts = 4

// submit sends a request to an instance; a once-request is claimed first.
func (w *world) submit(n *fakeNode, adapter fleet.AdapterRef, onceID string, length time.Duration) {
	w.counter++
	q := &fakeRequest{id: fmt.Sprintf("q%d", w.counter), onceID: onceID, adapter: adapter, entry: n, length: length}
	w.requests[q.id] = q
	w.oracle.requested(q.id, adapter.String())
	n.open[q.id] = q
	if onceID == "" {
		w.ask(q)
		return
	}
	w.kv.claim(n, onceID, func(result string) {
		switch result {
		case "claimed":
			w.ask(q)
		case "taken":
			w.oracle.stake(promiseOnce)
			w.finish(q, outcomeUnknown)
		default:
			w.finish(q, outcomeNotRun)
		}
	})
}

func (w *world) ask(q *fakeRequest) {
	n := q.entry
	n.do(n.node.Submit(n.clock(), fleet.Request{
		ID: q.id, Caller: "caller", Class: "c", Base: "base", Adapter: q.adapter, PromptTokens: 10, OutputTokens: 10, Once: q.onceID != "",
		Deadline: n.clock().Add(20 * time.Second), Attempt: q.attempt, Avoid: q.ticket.Endpoint,
	}))
}

// deliver is the traffic side of a grant: the ticket's time is looked at right before
// the request is written, also after a pause.
func (w *world) deliver(n *fakeNode, d node.Deliver) {
	q := w.requests[d.RequestID]
	if q == nil || q.done || q.running {
		if !w.defects.AcceptOldGrants || q == nil {
			n.do(n.node.ReturnTicket(n.clock(), d.Ticket.ID))
			return
		}
	}
	if w.traffic.wrongAdapter && d.Ticket.Adapter.Version == 2 {
		d.Ticket.Adapter.Version = 1
	}
	q.ticket = d.Ticket
	q.running = true
	n.enter(func() {
		if !n.clock().Before(d.NotAfter) {
			w.notRun(q)
			return
		}
		w.run(n, q, d.Ticket)
	})
}

func (w *world) run(n *fakeNode, q *fakeRequest, t fleet.Ticket) {
	e := w.endpoints[t.Endpoint]
	started := false
	w.at(w.now.Add(w.delay()), func() {
		if w.isCut(n.id, e.spec.Name) || n.dead {
			w.atNode(n, w.now.Add(100*time.Millisecond), func() { w.notRun(q) })
			return
		}
		started = e.start(q, t)
		if !started {
			w.atNode(n, w.now.Add(w.delay()), func() { w.notRun(q) })
			return
		}
		if w.lossy && w.random.IntN(8) == 0 {
			w.atNode(n, w.now.Add(w.delay()), func() { w.uncertain(q) })
		}
	})
}

// notRun is an attempt that surely did not run: the ticket goes back, and the request is asked for again.
func (w *world) notRun(q *fakeRequest) {
	n := q.entry
	if q.done {
		return
	}
	q.running = false
	n.do(n.node.ReturnTicket(n.clock(), q.ticket.ID))
	q.attempt++
	if q.attempt >= maxAttempts {
		w.finish(q, outcomeNotRun)
		return
	}
	w.ask(q)
}

// uncertain is an attempt of unknown end, such as a broken connection: a once-request
// must not be tried again, and its caller is told so.
func (w *world) uncertain(q *fakeRequest) {
	if q.done {
		return
	}
	w.oracle.stake(promiseNotRun)
	q.mayHaveRun = true
	if w.traffic.unknownNotRun {
		w.finish(q, outcomeNotRun)
		return
	}
	if q.onceID == "" || w.traffic.retryOnce {
		w.cancelThen(q, func() { w.notRunAgain(q) })
		return
	}
	w.oracle.stake(promiseOnce)
	w.finish(q, outcomeUnknown)
}

// notRunAgain repeats a request that may be run twice; its caller is never told "not run" from here on.
func (w *world) notRunAgain(q *fakeRequest) {
	if q.done {
		return
	}
	q.running = false
	q.attempt++
	if q.attempt >= maxAttempts {
		w.finish(q, outcomeUnknown)
		return
	}
	w.ask(q)
}

// cancelThen ends what may still run on the endpoint, gives the ticket back once the
// endpoint has said so, and goes on.
func (w *world) cancelThen(q *fakeRequest, then func()) {
	n, t := q.entry, q.ticket
	e := w.endpoints[t.Endpoint]
	w.at(w.now.Add(w.delay()), func() {
		if w.isCut(n.id, e.spec.Name) {
			w.at(w.now.Add(500*time.Millisecond), func() { n.enter(func() { w.cancelThen(q, then) }) })
			return
		}
		delete(e.running, q.id)
		w.atNode(n, w.now.Add(w.delay()), func() {
			n.do(n.node.ReturnTicket(n.clock(), t.ID))
			then()
		})
	})
}

// completed is the endpoint's end of a request: the answer goes to its entry.
func (w *world) completed(q *fakeRequest) {
	w.atNode(q.entry, w.now.Add(w.delay()), func() {
		if !q.done {
			w.finish(q, outcomeAnswered)
		}
	})
}

// broken is a request cut off by its endpoint's restart.
func (w *world) broken(q *fakeRequest) {
	w.atNode(q.entry, w.now.Add(w.delay()), func() { w.uncertain(q) })
}

func (w *world) reject(n *fakeNode, id string) {
	q := w.requests[id]
	if q == nil || q.done || q.entry != n {
		return
	}
	w.finish(q, outcomeNotRun)
}

// finish tells the caller and gives the ticket back.
func (w *world) finish(q *fakeRequest, outcome string) {
	n := q.entry
	q.done = true
	delete(n.open, q.id)
	if outcome == outcomeNotRun && q.mayHaveRun && !w.traffic.unknownNotRun {
		outcome = outcomeUnknown
	}
	from := q.id
	if w.traffic.wrongAnswer && w.counter%7 == 0 {
		from = "another"
	}
	w.oracle.answer(q.id, outcome, from)
	if !q.running {
		return
	}
	q.running = false
	if outcome == outcomeAnswered {
		n.do(n.node.ReturnTicket(n.clock(), q.ticket.ID))
		return
	}
	w.cancelThen(q, func() {})
}

// finishLeaving ends a node that stops by plan once nothing is in flight through it.
func (n *fakeNode) finishLeaving() {
	if !n.leaving || !n.node.Idle() || len(n.open) > 0 {
		return
	}
	n.dead = true
}

// kill ends a node at once: its connections break, which the endpoints see, and its
// callers are told nothing.
func (w *world) kill(n *fakeNode) {
	if n.leaving && len(n.open) > 0 {
		// A crash in the middle of a planned stop is a crash.
		n.leaving = false
	}
	n.dead = true
	for _, e := range w.endpoints {
		for id, r := range e.running {
			if r.request.entry != n {
				continue
			}
			w.at(w.now.Add(w.delay()), func() {
				if e.running[id] == r {
					delete(e.running, id)
				}
			})
		}
	}
	for _, q := range n.open {
		q.done = true
	}
}
