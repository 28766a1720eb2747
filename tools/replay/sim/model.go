// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"container/heap"
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
)

// engine is the model of one endpoint.
type engine struct {
	entry       EndpointEntry
	incarnation int
	resident    map[fleet.AdapterRef]time.Time
	loading     map[fleet.AdapterRef]*load
	running     map[*attempt]bool
	using       map[fleet.AdapterRef]int
	leavingAt   time.Time
	failNext    int
	busySince   time.Time
	busy        time.Duration
}

// attempt is one run of a request on an endpoint.
type attempt struct {
	request *request
	engine  *engine
	started time.Time
	first   time.Time
	ends    time.Time
	dead    bool
}

// load is one load under way at the weight store.
type load struct {
	engine      *engine
	incarnation int
	adapter     fleet.AdapterRef
	left        float64
	dead        bool
}

// store is the model of the weight store: a rate of starts, and a speed that
// loads share beyond the number that run at full speed.
type store struct {
	rate    float64
	atFull  int
	tokens  float64
	last    time.Time
	waiting []*load
	active  []*load
	moved   time.Time
	version int
}

func (s *store) refill(now time.Time) {
	s.tokens = math.Min(1, s.tokens+now.Sub(s.last).Seconds()*s.rate)
	s.last = now
}

// speed gives the part of full speed at which each active load runs.
func (s *store) speed() float64 {
	if len(s.active) <= s.atFull {
		return 1
	}
	return float64(s.atFull) / float64(len(s.active))
}

// advance moves the active loads on and returns those that have ended.
func (s *store) advance(now time.Time) []*load {
	done := now.Sub(s.moved).Seconds() * s.speed()
	s.moved = now
	var ended []*load
	kept := s.active[:0]
	for _, l := range s.active {
		l.left -= done
		if l.left <= 1e-7 || l.dead {
			ended = append(ended, l)
			continue
		}
		kept = append(kept, l)
	}
	s.active = kept
	return ended
}

// admit starts waiting loads as the rate allows.
func (s *store) admit(now time.Time) {
	s.refill(now)
	for len(s.waiting) > 0 && s.tokens >= 1-1e-9 {
		l := s.waiting[0]
		s.waiting = s.waiting[1:]
		if l.dead {
			continue
		}
		s.tokens--
		s.active = append(s.active, l)
	}
}

// next gives the time of the store's next change, if any.
func (s *store) next(now time.Time) (time.Time, bool) {
	best := math.Inf(1)
	for _, l := range s.active {
		best = math.Min(best, math.Max(0, l.left)/s.speed())
	}
	if len(s.waiting) > 0 {
		best = math.Min(best, math.Max(0, 1-s.tokens)/s.rate)
	}
	if math.IsInf(best, 1) {
		return time.Time{}, false
	}
	return now.Add(time.Duration(math.Ceil(best * float64(time.Second)))), true
}

// agenda is the list of what is still to happen, in order of time.
type agenda struct {
	items    itemHeap
	sequence int
}

type item struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type itemHeap []item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) { *h = append(*h, x.(item)) }

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

func (a *agenda) add(at time.Time, run func(now time.Time)) {
	a.sequence++
	heap.Push(&a.items, item{at: at, sequence: a.sequence, run: run})
}

func (a *agenda) next() (item, bool) {
	if len(a.items) == 0 {
		return item{}, false
	}
	return heap.Pop(&a.items).(item), true
}

func (a *agenda) peek() (time.Time, bool) {
	if len(a.items) == 0 {
		return time.Time{}, false
	}
	return a.items[0].at, true
}
