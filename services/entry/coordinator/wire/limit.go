// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Limit is the number of requests per second that an endpoint accepts from all instances together.
type Limit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID        deployment.EndpointID
	PerSecond float64
	// Age is the time since the endpoint last stated the limit.
	Age time.Duration
	// Waiting is the number of requests that wait for the endpoint at all instances. Only the planner sets it.
	Waiting int
}

// LimitList holds all known limits.
type LimitList struct {
	Limits []Limit `msgpack:"l,omitempty"`
}

// Lifted reports that an endpoint no longer states a limit.
type Lifted struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID deployment.EndpointID
	// Age is the time since the request was sent whose answer stated no limit.
	Age time.Duration
}

// Want reports that an instance wants to send requests to an endpoint with a limit, and how many of its requests can only be served
// there.
type Want struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID      deployment.EndpointID
	Waiting int
}

// Grant permits an instance to send a number of requests to an endpoint with a limit.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID       deployment.EndpointID
	Instance string
	Count    int
}
