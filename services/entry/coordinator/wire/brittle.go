// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Brittle is a service whose endpoints fall over if they reject too many requests.
type Brittle struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Service string
	// Rejections is the number of requests per second that an endpoint can reject.
	Rejections float64
	// Age is the time since an endpoint last stated that.
	Age time.Duration
}

// BrittleEnd reports that the endpoints of a service no longer state that they are brittle.
type BrittleEnd struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Service string
	// Age is the time since the request was sent whose answer did not state it.
	Age time.Duration
}

// Full reports that an endpoint rejected a request for want of room.
type Full struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID deployment.EndpointID
	// Age is the time since the rejection.
	Age time.Duration
}

// BrittleList holds all services of brittle endpoints, and those of their endpoints that rejected requests a short time ago.
type BrittleList struct {
	Services []Brittle `msgpack:"s,omitempty"`
	Full     []Full    `msgpack:"f,omitempty"`
}
