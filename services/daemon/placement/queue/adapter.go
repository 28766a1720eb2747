// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"container/heap"
	"iter"
	"time"
)

// Adapter holds the requests that wait for one adapter, in one lane for each class and customer.
type Adapter struct {
	// lanes contains only lanes with at least one waiter.
	lanes  map[customerKey]*lane
	count  int
	weight float64
	// patientHolds holds the waiting patient requests, with the earliest holdUntil at the front.
	patientHolds holdHeap
}

func newAdapter() *Adapter {
	return &Adapter{lanes: make(map[customerKey]*lane)}
}

// PatientCount returns the number of waiting requests of patient classes.
func (a *Adapter) PatientCount() int {
	return len(a.patientHolds)
}

// HasInteractive reports whether an interactive request is waiting.
func (a *Adapter) HasInteractive() bool {
	return a.count > len(a.patientHolds)
}

// Weight returns the sum of the stall weights of the waiting requests.
func (a *Adapter) Weight() float64 {
	return a.weight
}

// OldestQueued returns the time at which the oldest waiting request was queued. The value of a load and the need for another copy
// depend on the waiting time of a single request, not on how long the queue has been non-empty.
func (a *Adapter) OldestQueued() time.Time {
	var oldest time.Time
	for _, l := range a.lanes {
		queued := l.head().Queued
		if oldest.IsZero() || queued.Before(oldest) {
			oldest = queued
		}
	}
	return oldest
}

// HoldUntil returns the earliest time at which a waiting patient request must start even if too few of them wait for a batch,
// or the zero time if no patient request waits.
func (a *Adapter) HoldUntil() time.Time {
	if len(a.patientHolds) == 0 {
		return time.Time{}
	}
	return a.patientHolds[0].holdUntil
}

// LaneCount returns the number of lanes.
func (a *Adapter) LaneCount() int {
	return len(a.lanes)
}

// Customers returns the customer of each lane in no particular order. A customer that waits in
// two classes is returned twice.
func (a *Adapter) Customers() iter.Seq[string] {
	return func(yield func(string) bool) {
		for key := range a.lanes {
			if !yield(key.customer) {
				return
			}
		}
	}
}

// Heads returns the first waiter of each lane in no particular order.
func (a *Adapter) Heads() iter.Seq[*Waiter] {
	return func(yield func(*Waiter) bool) {
		for _, l := range a.lanes {
			if !yield(l.head()) {
				return
			}
		}
	}
}

// All returns every waiter, lane by lane in no particular order of lanes. The queue may be changed during the iteration.
func (a *Adapter) All() iter.Seq[*Waiter] {
	return func(yield func(*Waiter) bool) {
		for _, l := range a.lanes {
			for _, w := range l.waiters {
				if w == nil || w.removed {
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
		heap.Push(&a.patientHolds, w)
	}
}

// remove updates the lane and the counts for a waiter that has been marked as removed.
func (a *Adapter) remove(w *Waiter, key customerKey) {
	if l := a.lanes[key]; l.remove() == 0 {
		delete(a.lanes, key)
	}
	a.count--
	a.weight -= w.Class.StallWeight
	if w.Class.Patient {
		heap.Remove(&a.patientHolds, w.holdIndex)
	}
}
