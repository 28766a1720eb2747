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

// Queue holds the waiting requests of a pool.
type Queue struct {
	adapters map[fleet.AdapterRef]*Adapter
	byID     map[string]*Waiter
	// deadlines holds the waiters with a deadline, the earliest at the front.
	deadlines        deadlineHeap
	fair             fairOrder
	tokensByClass    map[string]int
	tokensByCustomer map[customerKey]int
	sequence         uint64
	plain            bool
}

// customerKey identifies a customer within a class.
type customerKey struct {
	class    string
	customer string
}

func customerKeyOf(w *Waiter) customerKey {
	return customerKey{class: w.Class.Name, customer: w.Request.Caller}
}

// New returns an empty queue. If plain is set, fair queuing within a class is disabled; this
// is used for comparison only.
func New(plain bool) *Queue {
	return &Queue{
		adapters:         make(map[fleet.AdapterRef]*Adapter),
		byID:             make(map[string]*Waiter),
		fair:             newFairOrder(),
		tokensByClass:    make(map[string]int),
		tokensByCustomer: make(map[customerKey]int),
		plain:            plain,
	}
}

// Push adds a request to the queue and assigns its start tag. A customer's next request starts
// at the virtual time at which its previous one ended, so that a burst of one customer delays
// only that customer. A patient request is held back for at most hold.
func (q *Queue) Push(now time.Time, r fleet.Request, c fleet.Class, hold time.Duration) {
	q.sequence++
	w := &Waiter{Request: r, Class: c, Queued: now, sequence: q.sequence}
	w.holdUntil = now.Add(w.holdLimit(now, hold))
	key := customerKeyOf(w)
	if !q.plain {
		w.startTag = q.fair.nextTag(now, key, r.Tokens())
	}
	q.tokensByClass[c.Name] += r.Tokens()
	q.tokensByCustomer[key] += r.Tokens()
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
	q.fair.limitTags(q.hasWaiting)
}

// Remove removes a waiter from the queue. Removing it again has no effect.
func (q *Queue) Remove(w *Waiter) {
	if w.removed {
		return
	}
	w.removed = true
	r := w.Request
	delete(q.byID, r.ID)
	if !r.Deadline.IsZero() {
		heap.Remove(&q.deadlines, w.deadlineIndex)
	}
	key := customerKeyOf(w)
	q.tokensByClass[w.Class.Name] -= r.Tokens()
	if q.tokensByClass[w.Class.Name] <= 0 {
		delete(q.tokensByClass, w.Class.Name)
	}
	q.tokensByCustomer[key] -= r.Tokens()
	if q.tokensByCustomer[key] <= 0 {
		delete(q.tokensByCustomer, key)
	}
	a := q.adapters[r.Adapter]
	a.remove(w, key)
	if a.count == 0 {
		delete(q.adapters, r.Adapter)
	}
}

// Dispatch removes a waiter that starts and advances the virtual time of its class.
func (q *Queue) Dispatch(w *Waiter) {
	q.Remove(w)
	if !q.plain {
		q.fair.advance(w.Class.Name, w.startTag, q.hasWaiting)
	}
}

// Prune drops the tags of customers without recent waiting requests, which limits the memory.
func (q *Queue) Prune(now time.Time) {
	q.fair.prune(now, q.hasWaiting)
}

// hasWaiting reports whether a request of the customer is waiting in the class.
func (q *Queue) hasWaiting(key customerKey) bool {
	_, ok := q.tokensByCustomer[key]
	return ok
}

// Expired removes and returns the waiters whose deadlines have passed.
func (q *Queue) Expired(now time.Time) []*Waiter {
	var out []*Waiter
	for len(q.deadlines) > 0 && q.deadlines[0].Request.Expired(now) {
		w := q.deadlines[0]
		q.Remove(w)
		out = append(out, w)
	}
	return out
}

// NextDeadline returns the earliest deadline of a waiter, or the zero time.
func (q *Queue) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Request.Deadline
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	return len(q.byID)
}

// Find returns the waiter of a request.
func (q *Queue) Find(requestID string) (*Waiter, bool) {
	w, ok := q.byID[requestID]
	return w, ok
}

// InArrivalOrder returns the waiters in the order in which they were queued.
func (q *Queue) InArrivalOrder() []*Waiter {
	return slices.SortedFunc(maps.Values(q.byID), func(a, b *Waiter) int { return cmp.Compare(a.sequence, b.sequence) })
}

// Adapter returns the requests that wait for an adapter, or false if there are none.
func (q *Queue) Adapter(ref fleet.AdapterRef) (*Adapter, bool) {
	a, ok := q.adapters[ref]
	return a, ok
}

// Adapters returns all adapters with waiting requests, in no particular order.
func (q *Queue) Adapters() iter.Seq2[fleet.AdapterRef, *Adapter] {
	return maps.All(q.adapters)
}

// Tokens returns the tokens of all waiting requests.
func (q *Queue) Tokens() int {
	sum := 0
	for _, n := range q.tokensByClass {
		sum += n
	}
	return sum
}

// ClassTokens returns the tokens of the waiting requests of a class.
func (q *Queue) ClassTokens(class string) int {
	return q.tokensByClass[class]
}

// CustomerTokens returns the tokens of a customer's waiting requests in a class.
func (q *Queue) CustomerTokens(class, customer string) int {
	return q.tokensByCustomer[customerKey{class: class, customer: customer}]
}
