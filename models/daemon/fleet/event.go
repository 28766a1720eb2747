// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import "time"

// EventKind is the kind of an event.
type EventKind string

// The kinds of event.
const (
	EventTakeover       EventKind = "takeover"
	EventRelease        EventKind = "release"
	EventLoad           EventKind = "load"
	EventLoaded         EventKind = "loaded"
	EventLoadFailed     EventKind = "load_failed"
	EventLoadGivenUp    EventKind = "load_given_up"
	EventEvict          EventKind = "evict"
	EventUnloaded       EventKind = "unloaded"
	EventOrderRefused   EventKind = "order_refused"
	EventSlotUnknown    EventKind = "slot_unknown"
	EventGrant          EventKind = "grant"
	EventQueued         EventKind = "queued"
	EventRefused        EventKind = "refused"
	EventRetry          EventKind = "retry"
	EventFinished       EventKind = "finished"
	EventFreeze         EventKind = "freeze"
	EventThaw           EventKind = "thaw"
	EventMemberJoined   EventKind = "member_joined"
	EventMemberLost     EventKind = "member_lost"
	EventMemberLeft     EventKind = "member_left"
	EventRevision       EventKind = "revision"
	EventRevisionBehind EventKind = "revision_behind"
	EventRestarted      EventKind = "endpoint_restarted"
	EventEndpointDown   EventKind = "endpoint_down"
	EventEndpointUp     EventKind = "endpoint_up"
	EventDrain          EventKind = "drain"
	EventResume         EventKind = "resume"
)

// Event records an action that the system took without an operator, and its cause.
type Event struct {
	At       time.Time
	Instance string
	Kind     EventKind
	Cause    string
	Request  string
	Adapter  string
	Endpoint string
	Pool     string
	// Other is the second party of the event, such as the instance that joined, left or takes over a pool, the hall that became silent, or
	// the adapter for which another adapter is evicted.
	Other    string
	Fence    uint64
	Revision int64
	Value    float64
}
