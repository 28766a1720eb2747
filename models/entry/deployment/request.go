// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// Request holds the properties of a caller's attempt on which decisions depend.
type Request struct {
	// ID is the caller's identifier of the attempt from its header, truncated to the length that a log line holds. It need not be unique.
	ID string
	// Route is the route that matches the host and path, from the configuration in force.
	Route *Route
	// Service is the service of the route that was selected for the request.
	Service string
	// Adapter is the adapter named by the caller's header; its Model is empty for plain services.
	Adapter Adapter
	// PromptTokens is the length of the prompt in tokens as declared by the caller; 0 if it declares none.
	PromptTokens int
	// Arrived is when this instance began to serve the request, by its own clock.
	Arrived time.Time
	// Deadline is the earlier of the caller's own deadline and the route's timeout.
	Deadline time.Time
	// Fingerprint identifies repetitions of the same request; it is computed from what the caller sent.
	Fingerprint fingerprint.Fingerprint
	// Parts are the parts of the prompt that other requests may have in common with this one, as declared by the caller.
	Parts []fingerprint.Fingerprint
	// OnlyEndpoint is the one endpoint that may run the request, because it has the state of the request so far; empty if any endpoint may.
	OnlyEndpoint EndpointID
	// Software is the only software whose endpoints may run the request, because the stream that it continues began there; empty if endpoints
	// of any software may.
	Software string
}

// UsesModel reports whether the request runs on a base model.
func (r *Request) UsesModel() bool {
	return r.Adapter.Model != ""
}

// MayRunAt reports whether an endpoint is one of those that may run the request, by its ID and its software.
func (r *Request) MayRunAt(endpoint *Endpoint) bool {
	return (r.OnlyEndpoint == "" || endpoint.ID == r.OnlyEndpoint) && (r.Software == "" || endpoint.Software == r.Software)
}

// StartIsVisible reports whether the answer shows when an endpoint starts to run the request: a stream does so by its first event, any other
// answer only at its end.
func (r *Request) StartIsVisible() bool {
	return r.Route.Kind == Streaming
}
