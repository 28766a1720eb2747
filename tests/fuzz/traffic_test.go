// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// fakeRequest is one request of a caller.
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
	// atStoppingNode is set if the request was open at its node when a planned stop of the node began.
	atStoppingNode bool
	// mayHaveRun is set once an attempt has ended with an unknown outcome, as in the real relay.
	mayHaveRun bool
}

// maxAttempts is the number of attempts after which a request is not submitted again.
const maxAttempts = 4

// submit submits a request to an instance. A once-request is claimed first.
func (s *simulation) submit(n *fakeNode, adapter fleet.AdapterRef, onceID string, length time.Duration) {
	s.requestCount++
	q := &fakeRequest{id: fmt.Sprintf("q%d", s.requestCount), onceID: onceID, adapter: adapter, entry: n, length: length}
	s.requests[q.id] = q
	s.oracle.recordRequest(q.id, adapter.String())
	n.openRequests[q.id] = q
	if onceID == "" {
		s.submitAttempt(q)
		return
	}
	s.kv.claim(n, onceID, func(result string) {
		switch result {
		case "claimed":
			s.submitAttempt(q)
		case "taken":
			s.oracle.countCheck(guaranteeOnce)
			s.finish(q, outcomeUnknown)
		default:
			s.finish(q, outcomeNotRun)
		}
	})
}

func (s *simulation) submitAttempt(q *fakeRequest) {
	n := q.entry
	n.applyEffects(n.node.Submit(n.clock(), fleet.Request{
		ID: q.id, Caller: "caller", Class: "c", Base: "base", Adapter: q.adapter, PromptTokens: 10, OutputTokens: 10, Once: q.onceID != "",
		Deadline: n.clock().Add(20 * time.Second), Attempt: q.attempt, Avoid: q.ticket.Endpoint,
	}))
}

// deliver starts a request with its ticket. The ticket's expiry is checked immediately before the request is written, also after a pause of
// the node.
func (s *simulation) deliver(n *fakeNode, d node.Deliver) {
	q := s.requests[d.RequestID]
	if q == nil || q.done || q.running {
		if !s.nodeDefects.AcceptOldGrants || q == nil {
			n.applyEffects(n.node.ReturnTicket(n.clock(), d.Ticket.ID))
			return
		}
	}
	if s.trafficDefects.wrongAdapter && d.Ticket.Adapter.Version == 2 {
		d.Ticket.Adapter.Version = 1
	}
	q.ticket = d.Ticket
	q.running = true
	n.runWhenActive(func() {
		if !n.clock().Before(d.NotAfter) {
			s.retryNotRun(q)
			return
		}
		s.startAttempt(n, q, d.Ticket)
	})
}

func (s *simulation) startAttempt(n *fakeNode, q *fakeRequest, t fleet.Ticket) {
	e := s.endpoints[t.Endpoint]
	started := false
	s.schedule(s.now.Add(s.delay()), func() {
		if s.isCut(n.id, e.spec.Name) || n.dead {
			s.scheduleOnNode(n, s.now.Add(100*time.Millisecond), func() { s.retryNotRun(q) })
			return
		}
		started = e.start(q, t)
		if !started {
			s.scheduleOnNode(n, s.now.Add(s.delay()), func() { s.retryNotRun(q) })
			return
		}
		if s.lossy && s.random.IntN(8) == 0 {
			s.scheduleOnNode(n, s.now.Add(s.delay()), func() { s.handleUnknownOutcome(q) })
		}
	})
}

// retryNotRun handles an attempt that certainly did not run: it returns the ticket and submits the request again.
func (s *simulation) retryNotRun(q *fakeRequest) {
	n := q.entry
	if q.done {
		return
	}
	q.running = false
	n.applyEffects(n.node.ReturnTicket(n.clock(), q.ticket.ID))
	q.attempt++
	if q.attempt >= maxAttempts {
		s.finish(q, outcomeNotRun)
		return
	}
	s.submitAttempt(q)
}

// handleUnknownOutcome handles an attempt that may have run, for example after a broken connection. A once-request must not be retried and
// ends with the outcome unknown; other requests are retried.
func (s *simulation) handleUnknownOutcome(q *fakeRequest) {
	if q.done {
		return
	}
	s.oracle.countCheck(guaranteeNotRun)
	q.mayHaveRun = true
	if s.trafficDefects.unknownNotRun {
		s.finish(q, outcomeNotRun)
		return
	}
	if q.onceID == "" || s.trafficDefects.retryOnce {
		s.cancelThen(q, func() { s.retryPossiblyRun(q) })
		return
	}
	s.oracle.countCheck(guaranteeOnce)
	s.finish(q, outcomeUnknown)
}

// retryPossiblyRun retries a request that may run more than once. Its outcome can no longer be not_run.
func (s *simulation) retryPossiblyRun(q *fakeRequest) {
	if q.done {
		return
	}
	q.running = false
	q.attempt++
	if q.attempt >= maxAttempts {
		s.finish(q, outcomeUnknown)
		return
	}
	s.submitAttempt(q)
}

// cancelThen cancels a request that may still run on its endpoint, returns the ticket after the endpoint has answered, and then calls then.
func (s *simulation) cancelThen(q *fakeRequest, then func()) {
	n, t := q.entry, q.ticket
	e := s.endpoints[t.Endpoint]
	s.schedule(s.now.Add(s.delay()), func() {
		if s.isCut(n.id, e.spec.Name) {
			s.schedule(s.now.Add(500*time.Millisecond), func() { n.runWhenActive(func() { s.cancelThen(q, then) }) })
			return
		}
		delete(e.running, q.id)
		s.scheduleOnNode(n, s.now.Add(s.delay()), func() {
			n.applyEffects(n.node.ReturnTicket(n.clock(), t.ID))
			then()
		})
	})
}

// completeRequest sends the answer of a request from its endpoint to its entry.
func (s *simulation) completeRequest(q *fakeRequest) {
	s.scheduleOnNode(q.entry, s.now.Add(s.delay()), func() {
		if !q.done {
			s.finish(q, outcomeAnswered)
		}
	})
}

// breakRequest notifies the entry of a request that the restart of its endpoint has interrupted.
func (s *simulation) breakRequest(q *fakeRequest) {
	s.scheduleOnNode(q.entry, s.now.Add(s.delay()), func() { s.handleUnknownOutcome(q) })
}

func (s *simulation) reject(n *fakeNode, id string) {
	q := s.requests[id]
	if q == nil || q.done || q.entry != n {
		return
	}
	s.finish(q, outcomeNotRun)
}

// finish records the outcome for the caller and returns the ticket.
func (s *simulation) finish(q *fakeRequest, outcome string) {
	n := q.entry
	q.done = true
	delete(n.openRequests, q.id)
	if outcome == outcomeNotRun && q.mayHaveRun && !s.trafficDefects.unknownNotRun {
		outcome = outcomeUnknown
	}
	from := q.id
	if s.trafficDefects.wrongAnswer && s.requestCount%7 == 0 {
		from = "another"
	}
	s.oracle.recordOutcome(q.id, outcome, from)
	if !q.running {
		return
	}
	q.running = false
	if outcome == outcomeAnswered {
		n.applyEffects(n.node.ReturnTicket(n.clock(), q.ticket.ID))
		return
	}
	s.cancelThen(q, func() {})
}

// finishLeaving ends a node in a planned stop when it has no requests in flight.
func (n *fakeNode) finishLeaving() {
	if !n.leaving || !n.node.Idle() || len(n.openRequests) > 0 {
		return
	}
	n.dead = true
}

// kill ends a node immediately. Its connections break, so that its endpoints cancel its requests after a delay; its callers get no outcome.
func (s *simulation) kill(n *fakeNode) {
	if n.leaving && len(n.openRequests) > 0 {
		// A crash during a planned stop counts as a crash, so open requests are not checked against guaranteeStop.
		n.leaving = false
	}
	n.dead = true
	for _, e := range s.endpoints {
		for id, r := range e.running {
			if r.request.entry != n {
				continue
			}
			s.schedule(s.now.Add(s.delay()), func() {
				if e.running[id] == r {
					delete(e.running, id)
				}
			})
		}
	}
	for _, q := range n.openRequests {
		q.done = true
	}
}
