// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Effect is an action that the caller of a Placer method has to carry out.
type Effect interface{ isEffect() }

// Grant sends a ticket to the request's entry.
type Grant struct {
	Request fleet.Request
	Ticket  fleet.Ticket
}

// Refuse notifies the request's entry that the request was not run.
type Refuse struct {
	Request fleet.Request
	Refusal fleet.Refusal
}

// Load orders an endpoint to unload Evict, if set, and to load Adapter.
type Load struct {
	Pool        string
	Endpoint    string
	Incarnation string
	Fence       uint64
	Adapter     fleet.AdapterRef
	Evict       fleet.AdapterRef
	// NotAfter is the time after which the order must not be sent; the zero time means no limit.
	NotAfter time.Time
}

// InspectEndpoint requests an inspection of an endpoint, after an order whose effect is unknown.
type InspectEndpoint struct {
	Pool     string
	Endpoint string
}

// RepeatTakeover requests that an endpoint be taken over again under a new fence.
type RepeatTakeover struct {
	Endpoint string
}

// RecordEvent records an event.
type RecordEvent struct {
	Event fleet.Event
}

func (Grant) isEffect()           {}
func (Refuse) isEffect()          {}
func (Load) isEffect()            {}
func (InspectEndpoint) isEffect() {}
func (RepeatTakeover) isEffect()  {}
func (RecordEvent) isEffect()     {}

// LoadOutcome is the outcome of an ordered load.
type LoadOutcome string

// The outcomes of a load.
const (
	LoadDone    LoadOutcome = "done"
	LoadFailed  LoadOutcome = "failed"
	LoadUnknown LoadOutcome = "unknown"
)
