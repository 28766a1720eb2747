// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Journal is a ring buffer of events. It is safe for concurrent use.
type Journal struct {
	mutex  sync.Mutex
	events []fleet.Event
	// next is the index that the next event is written to.
	next int
	full bool
}

// New returns an empty journal that holds at most size events.
func New(size int) *Journal {
	return &Journal{events: make([]fleet.Event, size)}
}

// Add appends an event and, if the ring buffer is full, overwrites the oldest event.
func (j *Journal) Add(e fleet.Event) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.events[j.next] = e
	j.next++
	if j.next == len(j.events) {
		j.next, j.full = 0, true
	}
}

// FindEventsOptions selects events. An event must match every field that is set.
type FindEventsOptions struct {
	Kind    fleet.EventKind
	Request string
	// Adapter matches the adapter of an event and the other adapter involved in it, such as the one that replaces an evicted adapter.
	Adapter  string
	Endpoint string
	Revision int64
	// Since matches events at or after this time.
	Since time.Time
	// Limit is the maximum number of events to return, the latest ones; zero means no limit.
	Limit int
}

// Find returns the matching events, the oldest first.
func (j *Journal) Find(o FindEventsOptions) []fleet.Event {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var out []fleet.Event
	count := j.next
	oldest := 0
	if j.full {
		count, oldest = len(j.events), j.next
	}
	for i := range count {
		e := j.events[(oldest+i)%len(j.events)]
		if o.matches(e) {
			out = append(out, e)
		}
	}
	if o.Limit > 0 && len(out) > o.Limit {
		out = out[len(out)-o.Limit:]
	}
	return out
}

func (o FindEventsOptions) matches(e fleet.Event) bool {
	if o.Kind != "" && e.Kind != o.Kind {
		return false
	}
	if o.Request != "" && e.Request != o.Request {
		return false
	}
	if o.Adapter != "" && e.Adapter != o.Adapter && e.Other != o.Adapter {
		return false
	}
	if o.Endpoint != "" && e.Endpoint != o.Endpoint {
		return false
	}
	if o.Revision != 0 && e.Revision != o.Revision {
		return false
	}
	return !e.At.Before(o.Since)
}
