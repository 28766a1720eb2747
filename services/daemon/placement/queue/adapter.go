// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"container/heap"
	"iter"
	"time"
)

// Adapter holds what waits for one adapter, a lane for each class and customer.
type Adapter struct {
	// lanes has no lane without a waiter.
	lanes  map[customerKey]*lane
	count  int
	weight float64
	// holds has the waiting patient work, the first that must start at the front.
	holds holdHeap
}

func newAdapter() *Adapter {
	return &Adapter{lanes: make(map[customerKey]*lane)}
}

// Patient gives the number of waiting requests of patient classes.
func (a *Adapter) Patient() int {
	return len(a.holds)
}

// Urgent tells whether a request waits that is not patient.
func (a *Adapter) Urgent() bool {
	return a.count > len(a.holds)
}

// Weight sums the stall weights of those who wait.
func (a *Adapter) Weight() float64 {
	return a.weight
}

// Since gives the time at which the oldest of those who wait was queued: how long one request waits, and not since when
// somebody does, makes a load worth more and justifies a further copy.
func (a *Adapter) Since() time.Time {
	var oldest time.Time
	for _, l := range a.lanes {
		queued := l.head().Queued
		if oldest.IsZero() || queued.Before(oldest) {
			oldest = queued
		}
	}
	return oldest
}

// HoldUntil gives the time at which the first of the waiting patient work must start, gathered or not; the zero time where
// none waits.
func (a *Adapter) HoldUntil() time.Time {
	if len(a.holds) == 0 {
		return time.Time{}
	}
	return a.holds[0].holdUntil
}

// Lanes gives the number of lanes.
func (a *Adapter) Lanes() int {
	return len(a.lanes)
}

// Customers gives the customer of each lane, in no order; a customer who waits in two
// classes comes twice.
func (a *Adapter) Customers() iter.Seq[string] {
	return func(yield func(string) bool) {
		for key := range a.lanes {
			if !yield(key.customer) {
				return
			}
		}
	}
}

// Heads gives the first waiter of each lane, in no order.
func (a *Adapter) Heads() iter.Seq[*Waiter] {
	return func(yield func(*Waiter) bool) {
		for _, l := range a.lanes {
			if !yield(l.head()) {
				return
			}
		}
	}
}

// All gives every waiter, in no order of lanes; the queue may be changed meanwhile.
func (a *Adapter) All() iter.Seq[*Waiter] {
	return func(yield func(*Waiter) bool) {
		for _, l := range a.lanes {
			for _, w := range l.waiters {
				if w == nil || w.gone {
					continue
				}
				if !yield(w) {
					return
				}
			}
		}
	}
}

func (a *Adapter) add(w *Waiter, key customerKey) {
	l, ok := a.lanes[key]
	if !ok {
		l = &lane{}
		a.lanes[key] = l
	}
	l.add(w)
	a.count++
	a.weight += w.Class.StallWeight
	if w.Class.Patient {
		heap.Push(&a.holds, w)
	}
}

// remove takes out a waiter that is marked as gone.
func (a *Adapter) remove(w *Waiter, key customerKey) {
	if l := a.lanes[key]; l.remove() == 0 {
		delete(a.lanes, key)
	}
	a.count--
	a.weight -= w.Class.StallWeight
	if w.Class.Patient {
		heap.Remove(&a.holds, w.holdIndex)
	}
}
