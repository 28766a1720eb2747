// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"cmp"
	"container/heap"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Queue holds all waiting requests of a pool.
type Queue struct {
	adapters map[fleet.AdapterRef]*Adapter
	byID     map[string]*Waiter
	// deadlines has the waiters with a deadline, the earliest at the front.
	deadlines  deadlineHeap
	fair       fairOrder
	byClass    map[string]int
	byCustomer map[customerKey]int
	sequence   uint64
	plain      bool
}

// customerKey names one customer inside one class.
type customerKey struct {
	class    string
	customer string
}

func keyOf(w *Waiter) customerKey {
	return customerKey{class: w.Class.Name, customer: w.Request.Caller}
}

// New makes an empty queue; a plain one skips the fair order inside a class, for
// comparison only.
func New(plain bool) *Queue {
	return &Queue{
		adapters:   make(map[fleet.AdapterRef]*Adapter),
		byID:       make(map[string]*Waiter),
		fair:       newFairOrder(),
		byClass:    make(map[string]int),
		byCustomer: make(map[customerKey]int),
		plain:      plain,
	}
}

// Push queues a request under its start tag: a customer's next request starts
// where its last one ended in virtual time, so a flood queues behind itself. Patient work
// is held back for hold at most.
func (q *Queue) Push(now time.Time, r fleet.Request, c fleet.Class, hold time.Duration) {
	q.sequence++
	w := &Waiter{Request: r, Class: c, Queued: now, sequence: q.sequence}
	w.holdUntil = now.Add(w.holdLimit(now, hold))
	key := keyOf(w)
	if !q.plain {
		w.tag = q.fair.begin(now, key, r.Tokens())
	}
	q.byClass[c.Name] += r.Tokens()
	q.byCustomer[key] += r.Tokens()
	q.byID[r.ID] = w
	a, ok := q.adapters[r.Adapter]
	if !ok {
		a = newAdapter()
		q.adapters[r.Adapter] = a
	}
	a.add(w, key)
	if !r.Deadline.IsZero() {
		heap.Push(&q.deadlines, w)
	}
}

// Remove takes a waiter out, once.
func (q *Queue) Remove(w *Waiter) {
	if w.gone {
		return
	}
	w.gone = true
	r := w.Request
	delete(q.byID, r.ID)
	if !r.Deadline.IsZero() {
		heap.Remove(&q.deadlines, w.deadlineIndex)
	}
	key := keyOf(w)
	q.byClass[w.Class.Name] -= r.Tokens()
	if q.byClass[w.Class.Name] <= 0 {
		delete(q.byClass, w.Class.Name)
	}
	q.byCustomer[key] -= r.Tokens()
	if q.byCustomer[key] <= 0 {
		delete(q.byCustomer, key)
	}
	a := q.adapters[r.Adapter]
	a.remove(w, key)
	if a.count == 0 {
		delete(q.adapters, r.Adapter)
	}
}

// Dispatch takes a waiter out that starts, and moves its class's virtual time on.
func (q *Queue) Dispatch(w *Waiter) {
	q.Remove(w)
	if !q.plain {
		q.fair.advance(w.Class.Name, w.tag, q.waits)
	}
}

// Forget drops the tags of customers who have asked for nothing in a long time, which bounds the memory.
func (q *Queue) Forget(now time.Time) {
	q.fair.forget(now, q.waits)
}

// waits tells whether a request of a customer waits in a class.
func (q *Queue) waits(key customerKey) bool {
	_, ok := q.byCustomer[key]
	return ok
}

// Expired takes out and returns the waiters whose callers have stopped waiting.
func (q *Queue) Expired(now time.Time) []*Waiter {
	var out []*Waiter
	for len(q.deadlines) > 0 && q.deadlines[0].Request.Expired(now) {
		w := q.deadlines[0]
		q.Remove(w)
		out = append(out, w)
	}
	return out
}

// NextDeadline gives the earliest deadline of a waiter, or the zero time.
func (q *Queue) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Request.Deadline
}

// Len gives the number of waiters.
func (q *Queue) Len() int {
	return len(q.byID)
}

// Find finds the waiter of a request.
func (q *Queue) Find(requestID string) (*Waiter, bool) {
	w, ok := q.byID[requestID]
	return w, ok
}

// Sorted lists the waiters, the first queued first.
func (q *Queue) Sorted() []*Waiter {
	return slices.SortedFunc(maps.Values(q.byID), func(a, b *Waiter) int { return cmp.Compare(a.sequence, b.sequence) })
}

// Adapter gives what waits for an adapter, and false where nothing does.
func (q *Queue) Adapter(ref fleet.AdapterRef) (*Adapter, bool) {
	a, ok := q.adapters[ref]
	return a, ok
}

// Adapters gives every adapter that something waits for, in no order.
func (q *Queue) Adapters() iter.Seq2[fleet.AdapterRef, *Adapter] {
	return maps.All(q.adapters)
}

// Tokens gives the tokens of all that waits.
func (q *Queue) Tokens() int {
	sum := 0
	for _, n := range q.byClass {
		sum += n
	}
	return sum
}

// ClassTokens gives the tokens that wait in a class.
func (q *Queue) ClassTokens(class string) int {
	return q.byClass[class]
}

// CustomerTokens gives the tokens of one customer that wait in a class.
func (q *Queue) CustomerTokens(class, customer string) int {
	return q.byCustomer[customerKey{class: class, customer: customer}]
}
