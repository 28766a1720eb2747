// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Effect is something that a decision asks its caller to carry out.
type Effect interface{ isEffect() }

// Grant hands a ticket to the request's entry.
type Grant struct {
	Request fleet.Request
	Ticket  fleet.Ticket
}

// Refuse tells the request's entry that the request was not run.
type Refuse struct {
	Request fleet.Request
	Refusal fleet.Refusal
}

// Load orders an endpoint to unload Evict, if named, and to load Adapter.
type Load struct {
	Pool        string
	Endpoint    string
	Incarnation string
	Fence       uint64
	Adapter     fleet.AdapterRef
	Evict       fleet.AdapterRef
	// NotAfter is when the right to send the order ends; the zero time means never.
	NotAfter time.Time
}

// Inspect asks for an endpoint's own list, after an order with an uncertain end.
type Inspect struct {
	Pool     string
	Endpoint string
}

// Retake asks for an endpoint to be taken again, since it has forgotten the fence.
type Retake struct {
	Endpoint string
}

// Note records an event.
type Note struct {
	Event fleet.Event
}

func (Grant) isEffect()   {}
func (Refuse) isEffect()  {}
func (Load) isEffect()    {}
func (Inspect) isEffect() {}
func (Retake) isEffect()  {}
func (Note) isEffect()    {}

// LoadResult is how an ordered load ended.
type LoadResult string

// The ends of a load.
const (
	LoadDone    LoadResult = "done"
	LoadFailed  LoadResult = "failed"
	LoadUnknown LoadResult = "unknown"
)
