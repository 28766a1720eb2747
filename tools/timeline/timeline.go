// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a queue of scheduled events. Its zero value is an empty queue.
type Timeline struct {
	events     eventHeap
	addedCount int
}

// event is a function call at a time; events at the same time run in the order in which they were added.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

// Add schedules a call; run receives the time for which it was scheduled.
func (t *Timeline) Add(at time.Time, run func(now time.Time)) {
	t.addedCount++
	heap.Push(&t.events, event{at: at, sequence: t.addedCount, run: run})
}

// Next returns the time of the next event, and false if none is scheduled.
func (t *Timeline) Next() (time.Time, bool) {
	if len(t.events) == 0 {
		return time.Time{}, false
	}
	return t.events[0].at, true
}

// Step removes the next event from the queue, sets the clock to its time and runs it. It returns false if no event is
// scheduled.
func (t *Timeline) Step(clock *time.Time) bool {
	if len(t.events) == 0 {
		return false
	}
	next := heap.Pop(&t.events).(event)
	*clock = next.at
	next.run(next.at)
	return true
}

// RunUntil runs all events up to and including the time end and sets the clock to end.
func (t *Timeline) RunUntil(clock *time.Time, end time.Time) {
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
	return h[i].sequence < h[j].sequence
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
