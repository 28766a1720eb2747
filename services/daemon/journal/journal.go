// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal

import (
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Journal is the ring; it is safe for concurrent use.
type Journal struct {
	mutex  sync.Mutex
	events []fleet.Event
	next   int
	full   bool
}

// New makes a journal that holds so many events.
func New(size int) *Journal {
	return &Journal{events: make([]fleet.Event, size)}
}

// Add enters an event and drops the oldest if the ring is full.
func (j *Journal) Add(e fleet.Event) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.events[j.next] = e
	j.next++
	if j.next == len(j.events) {
		j.next, j.full = 0, true
	}
}

// FindEventsOptions choose events; empty fields match all.
type FindEventsOptions struct {
	Kind     fleet.EventKind
	Request  string
	Adapter  string
	Endpoint string
	Revision int64
	Since    time.Time
	// Limit keeps the latest so many; zero keeps all.
	Limit int
}

// Find lists the matching events, the oldest first.
func (j *Journal) Find(o FindEventsOptions) []fleet.Event {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var out []fleet.Event
	count := j.next
	begin := 0
	if j.full {
		count, begin = len(j.events), j.next
	}
	for i := range count {
		e := j.events[(begin+i)%len(j.events)]
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
