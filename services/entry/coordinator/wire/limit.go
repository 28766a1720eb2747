// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Limit is how many requests a second an endpoint takes from all instances together.
type Limit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID        deployment.EndpointID
	PerSecond float64
	// Age is how long ago the endpoint was last heard to name it.
	Age time.Duration
	// Waiting is how many requests wait for it at all instances; only the planner tells it.
	Waiting int
}

// LimitList is all limits that are known.
type LimitList struct {
	Limits []Limit `msgpack:"l,omitempty"`
}

// Lifted is that an endpoint named no limit any more.
type Lifted struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID deployment.EndpointID
	// Age is how long ago the request was sent whose answer had none.
	Age time.Duration
}

// Want is that an instance wants to send requests to an endpoint with a limit, and how many of them wait for just that.
type Want struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID      deployment.EndpointID
	Waiting int
}

// Grant is that an instance may send requests to an endpoint with a limit.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID       deployment.EndpointID
	Instance string
	Count    int
}
