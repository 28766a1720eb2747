// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// Origins holds the functions that know where streams began.
type Origins struct {
	// Begin records that the first event of a stream is forwarded, which callers can take up until a time. It must not block.
	Begin func(now time.Time, key origin.Key, began origin.Origin, until time.Time)
	// Find returns where a stream began that can have begun within the window, at one of the services.
	Find func(ctx context.Context, now time.Time, key origin.Key, services []string, window time.Duration) origin.Result
}

// lifetimeFactor is for how many time-outs of its route a stream can be taken up, at least: its callers may wait longer than the route. A higher
// value lets callers take up older streams, a lower one remembers them for a shorter time.
const lifetimeFactor = 2

// streamLifetime returns for how long after its beginning a stream can be taken up.
func streamLifetime(route *deployment.Route, caller CallerHeader) time.Duration {
	return min(origin.MaxLifetime, max(caller.Timeout, lifetimeFactor*route.Timeout))
}

// takesUpStream reports whether a caller goes on with a stream of which an earlier attempt brought it events.
func takesUpStream(route *deployment.Route, caller CallerHeader) bool {
	return route.Kind == deployment.Streaming && route.Resumable && caller.LastEvent != ""
}

// restrictToOrigin restricts a request that takes up a stream to the service and the software that began it. It returns false if these are not
// known, or not served by the route any more: any other endpoint might write what does not fit the events that the caller has.
func (s *Service) restrictToOrigin(ctx context.Context, request *deployment.Request, caller CallerHeader) bool {
	if s.control.Origins.Find == nil || !takesUpStream(request.Route, caller) {
		return true
	}
	services := request.Route.Services()
	key := origin.KeyOf(request.Route.Name, caller.BegunAs)
	found := s.control.Origins.Find(ctx, request.Arrived, key, services, streamLifetime(request.Route, caller))
	switch found.Verdict {
	case origin.Known:
		if found.Origin.Software == "" {
			return false
		}
	case origin.SoleSoftware, origin.Unrestricted:
	default:
		return false
	}
	return restrictTo(request, services, found.Origin)
}

func restrictTo(request *deployment.Request, services []string, began origin.Origin) bool {
	for _, service := range services {
		if service == began.Service {
			request.Service, request.Software = began.Service, began.Software
			return true
		}
	}
	return false
}

// recordOrigin records where a stream begins whose first event is about to be forwarded.
func (e *exchange) recordOrigin() {
	r := e.inflight
	if r.service.control.Origins.Begin == nil || !r.request.Route.Resumable || r.caller.LastEvent != "" || r.caller.ID == "" {
		return
	}
	began := origin.Origin{Service: r.request.Service, Software: e.assignment.Endpoint.Software}
	until := r.request.Arrived.Add(streamLifetime(r.request.Route, r.caller))
	r.service.control.Origins.Begin(r.service.options.Now(), origin.KeyOf(r.request.Route.Name, r.caller.ID), began, until)
}

// refuseUnknownOrigin ends a request that takes up a stream of which it is not known where it began.
func (r *inflight) refuseUnknownOrigin() {
	r.end(attempt.OriginUnknown, nil)
}
