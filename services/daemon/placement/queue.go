// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"container/heap"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// waiter is one queued request.
type waiter struct {
	request  fleet.Request
	class    fleet.Class
	tag      float64
	sequence uint64
	queued   time.Time
	gone     bool
}

// lane holds one customer's waiters of one class for one adapter, first come first served.
type lane struct {
	waiters []*waiter
}

// head gives the first waiter that is still there.
func (l *lane) head() *waiter {
	for len(l.waiters) > 0 {
		if !l.waiters[0].gone {
			return l.waiters[0]
		}
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
	}
	return nil
}

// deadlineHeap orders waiters by the time at which their callers stop waiting.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].request.Deadline.Before(h[j].request.Deadline)
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// adapterQueue holds what waits for one adapter, a lane for each class and customer.
type adapterQueue struct {
	ref     fleet.AdapterRef
	base    string
	lanes   map[customerKey]*lane
	count   int
	patient int
	weight  float64
	oldest  time.Time
	// holdUntil is when patient work must start, gathered or not.
	holdUntil time.Time
}

// fairQueue holds all waiting requests of a pool, bounded and fair by tokens.
type fairQueue struct {
	adapters   map[fleet.AdapterRef]*adapterQueue
	byID       map[string]*waiter
	deadlines  deadlineHeap
	virtual    map[string]float64
	finish     map[customerKey]float64
	tokens     map[string]int
	byCustomer map[customerKey]int
	sequence   uint64
	plain      bool
}

// customerKey names one customer inside one class.
type customerKey struct {
	class    string
	customer string
}

func newFairQueue(plain bool) *fairQueue {
	return &fairQueue{
		adapters:   make(map[fleet.AdapterRef]*adapterQueue),
		byID:       make(map[string]*waiter),
		virtual:    make(map[string]float64),
		finish:     make(map[customerKey]float64),
		tokens:     make(map[string]int),
		byCustomer: make(map[customerKey]int),
		plain:      plain,
	}
}

// push queues a request under its start tag: a customer's next request starts
// where its last one ended in virtual time, so a flood queues behind itself.
func (q *fairQueue) push(now time.Time, r fleet.Request, c fleet.Class, hold time.Duration) *waiter {
	key := customerKey{class: c.Name, customer: r.Caller}
	q.sequence++
	w := &waiter{request: r, class: c, sequence: q.sequence, queued: now}
	if !q.plain {
		w.tag = max(q.virtual[c.Name], q.finish[key])
		q.finish[key] = w.tag + float64(r.Tokens())
	}
	q.tokens[c.Name] += r.Tokens()
	q.byCustomer[key] += r.Tokens()
	q.byID[r.ID] = w
	q.insert(now, w, hold)
	if !r.Deadline.IsZero() {
		heap.Push(&q.deadlines, w)
	}
	return w
}

func (q *fairQueue) insert(now time.Time, w *waiter, hold time.Duration) {
	ref := w.request.Adapter
	a, ok := q.adapters[ref]
	if !ok {
		a = &adapterQueue{ref: ref, base: w.request.Base, lanes: make(map[customerKey]*lane), oldest: now}
		q.adapters[ref] = a
	}
	key := customerKey{class: w.class.Name, customer: w.request.Caller}
	l, ok := a.lanes[key]
	if !ok {
		l = &lane{}
		a.lanes[key] = l
	}
	l.waiters = append(l.waiters, w)
	a.count++
	a.weight += w.class.StallWeight
	if w.class.Patient {
		a.patient++
		a.holdAtMost(now.Add(w.holdLimit(now, hold)))
	}
}

func (a *adapterQueue) holdAtMost(until time.Time) {
	if a.holdUntil.IsZero() || until.Before(a.holdUntil) {
		a.holdUntil = until
	}
}

// holdShare is the part of a caller's wait that patient work may be held back. Higher fills
// batches better and leaves less time to run. Before it came, with other changes, 28
// overnight requests of the demo expired, and none after (commit 33c3f89); other values were
// not measured.
const holdShare = 0.2

// holdLimit is how long a request may be held back to fill a batch.
func (w *waiter) holdLimit(now time.Time, hold time.Duration) time.Duration {
	if w.request.Deadline.IsZero() {
		return hold
	}
	return min(hold, time.Duration(holdShare*float64(w.request.Deadline.Sub(now))))
}

// remove takes a waiter out; its lane drops the entry when it comes to the front.
func (q *fairQueue) remove(w *waiter) {
	if w.gone {
		return
	}
	w.gone = true
	r := w.request
	delete(q.byID, r.ID)
	key := customerKey{class: w.class.Name, customer: r.Caller}
	q.tokens[w.class.Name] -= r.Tokens()
	q.byCustomer[key] -= r.Tokens()
	if q.byCustomer[key] <= 0 {
		delete(q.byCustomer, key)
	}
	a := q.adapters[r.Adapter]
	a.count--
	a.weight -= w.class.StallWeight
	if w.class.Patient {
		a.patient--
	}
	if a.count == 0 {
		delete(q.adapters, r.Adapter)
	}
	q.trim(key)
}

// dispatched takes a waiter out and moves its class's virtual time on.
func (q *fairQueue) dispatched(w *waiter) {
	q.virtual[w.class.Name] = max(q.virtual[w.class.Name], w.tag)
	q.remove(w)
}

// trim forgets a customer's last tag once virtual time has passed it.
func (q *fairQueue) trim(key customerKey) {
	if q.byCustomer[key] == 0 && q.finish[key] <= q.virtual[key.class] {
		delete(q.finish, key)
	}
}

// expired takes out and returns the waiters whose callers have stopped waiting.
func (q *fairQueue) expired(now time.Time) []*waiter {
	var out []*waiter
	for len(q.deadlines) > 0 {
		w := q.deadlines[0]
		if !w.gone && !w.request.Expired(now) {
			break
		}
		heap.Pop(&q.deadlines)
		if w.gone {
			continue
		}
		q.remove(w)
		out = append(out, w)
	}
	return out
}

// nextDeadline gives the earliest deadline of a waiter, or the zero time.
func (q *fairQueue) nextDeadline() time.Time {
	for len(q.deadlines) > 0 {
		if !q.deadlines[0].gone {
			return q.deadlines[0].request.Deadline
		}
		heap.Pop(&q.deadlines)
	}
	return time.Time{}
}

// before tells whether w goes before other: priority raised by waiting, then fair tag.
func (w *waiter) before(other *waiter, now time.Time, aging time.Duration) bool {
	if other == nil {
		return true
	}
	a, b := w.level(now, aging), other.level(now, aging)
	if a != b {
		return a > b
	}
	if w.class.Name != other.class.Name {
		return w.class.Name < other.class.Name
	}
	if w.tag != other.tag {
		return w.tag < other.tag
	}
	return w.sequence < other.sequence
}

func (w *waiter) level(now time.Time, aging time.Duration) int {
	level := w.request.Priority
	if aging > 0 {
		level += int(now.Sub(w.queued) / aging)
	}
	return level
}
