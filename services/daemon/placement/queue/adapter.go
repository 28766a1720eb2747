// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

import (
	"iter"
	"time"
)

// lane holds one customer's waiters of one class for one adapter, first come first served.
type lane struct {
	waiters []*Waiter
}

// head gives the first waiter that is still there.
func (l *lane) head() *Waiter {
	for len(l.waiters) > 0 {
		if !l.waiters[0].gone {
			return l.waiters[0]
		}
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
	}
	return nil
}

// Adapter holds what waits for one adapter, a lane for each class and customer.
type Adapter struct {
	lanes   map[customerKey]*lane
	count   int
	patient int
	weight  float64
	since   time.Time
	// holdUntil is when patient work must start, gathered or not.
	holdUntil time.Time
}

// Patient gives the number of waiting requests of patient classes.
func (a *Adapter) Patient() int {
	return a.patient
}

// Urgent tells whether a request waits that is not patient.
func (a *Adapter) Urgent() bool {
	return a.count > a.patient
}

// Weight sums the stall weights of those who wait.
func (a *Adapter) Weight() float64 {
	return a.weight
}

// Since gives the time since when somebody has waited, without a gap.
func (a *Adapter) Since() time.Time {
	return a.since
}

// HoldUntil gives the time at which patient work must start, gathered or not; the zero time
// where none has waited.
func (a *Adapter) HoldUntil() time.Time {
	return a.holdUntil
}

// Lanes gives the number of lanes; one whose waiters have all gone counts until Heads has
// looked at it.
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

// Heads gives the first waiter of each lane, in no order, and drops lanes without any.
func (a *Adapter) Heads() iter.Seq[*Waiter] {
	return func(yield func(*Waiter) bool) {
		for key, l := range a.lanes {
			w := l.head()
			if w == nil {
				delete(a.lanes, key)
				continue
			}
			if !yield(w) {
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
	l.waiters = append(l.waiters, w)
	a.count++
	a.weight += w.Class.StallWeight
}

func (a *Adapter) holdAtMost(until time.Time) {
	if a.holdUntil.IsZero() || until.Before(a.holdUntil) {
		a.holdUntil = until
	}
}
