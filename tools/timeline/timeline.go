// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a queue of events; the zero value is empty.
type Timeline struct {
	events eventHeap
	added  int
}

// event is a call at its time; events of the same time happen in the order of their addition.
type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

// Add plans a call; run gets the time that it was planned for.
func (t *Timeline) Add(at time.Time, run func(now time.Time)) {
	t.added++
	heap.Push(&t.events, event{at: at, order: t.added, run: run})
}

// Next gives the time of the next event, and false if nothing is planned.
func (t *Timeline) Next() (time.Time, bool) {
	if len(t.events) == 0 {
		return time.Time{}, false
	}
	return t.events[0].at, true
}

// Step takes the next event off the queue, sets the clock to its time and runs it. It gives
// false if nothing is planned.
func (t *Timeline) Step(clock *time.Time) bool {
	if len(t.events) == 0 {
		return false
	}
	next := heap.Pop(&t.events).(event)
	*clock = next.at
	next.run(next.at)
	return true
}

// Until runs all events up to and including a time and leaves the clock there.
func (t *Timeline) Until(clock *time.Time, end time.Time) {
	for len(t.events) > 0 && !t.events[0].at.After(end) {
		t.Step(clock)
	}
	*clock = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
