// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// Request holds the facts of one caller's attempt that decisions need.
type Request struct {
	// ID is the caller's own name of the attempt, from its header, cut to what a log line holds; it need not be unique.
	ID string
	// Route is the route that host and path match; from the settings in force.
	Route *Route
	// Service is the one of the route's services that was drawn for the request.
	Service string
	// Adapter is what the caller's header names; its Model is empty for plain services.
	Adapter Adapter
	// Prompt is the length of its prompt in tokens, as the caller declares it; 0 if it does not say.
	Prompt int
	// Arrived is when this instance began to serve the request; own clock.
	Arrived time.Time
	// Deadline is the earlier of the caller's own deadline and the route's timeout.
	Deadline time.Time
	// Fingerprint tells whether the same request was sent before; from what the caller sent.
	Fingerprint fingerprint.Fingerprint
	// Only is the one endpoint that may take the request, as it knows what was made of it so far; empty where any may.
	Only EndpointID
}

// UsesModel reports whether the request runs on a base model.
func (r *Request) UsesModel() bool {
	return r.Adapter.Model != ""
}

// BeginShows reports whether the answer tells when an endpoint begins to run the request: a stream does by its first event, an answer
// that comes whole only at its end.
func (r *Request) BeginShows() bool {
	return r.Route.Kind == Streaming
}
