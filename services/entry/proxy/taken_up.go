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
	// Prepare is called before a stream that can be taken up is sent to an endpoint of an origin. It may wait for a moment.
	Prepare func(ctx context.Context, at origin.Origin)
	// Expect records that a stream without an event is sent to an endpoint, Begin that its first event is forwarded; callers can take it up until
	// a time. Of one stream only one origin may be expected, and it may begin nowhere else. They must not block.
	Expect func(now time.Time, key origin.Key, expected origin.Origin, until time.Time)
	Begin  func(now time.Time, key origin.Key, began origin.Origin, until time.Time)
	// GoOn records where a stream goes on of which nobody knew where it began, since one software alone has served. It must not block.
	GoOn func(now time.Time, key origin.Key, at origin.Origin, until time.Time)
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
	case origin.Known, origin.OnlyPossible:
		if found.Origin.Software == "" {
			// Others may serve beside it, and no endpoint tells whether it is of the same one.
			return false
		}
	case origin.SoleSoftware, origin.Unrestricted:
	default:
		return false
	}
	if found.Verdict == origin.OnlyPossible && caller.BegunAs == "" {
		// Instances deny to have begun an attempt, and none is named.
		return false
	}
	if found.Verdict != origin.Known {
		s.recordTakenUp(request, caller, found.Origin)
	}
	return restrictTo(request, services, found.Origin)
}

// recordTakenUp records where a stream goes on of which nobody knew where it began, for the case that its caller takes it up again.
func (s *Service) recordTakenUp(request *deployment.Request, caller CallerHeader, at origin.Origin) {
	if s.control.Origins.GoOn != nil && caller.BegunAs != "" && at.Software != "" {
		s.recordAt(s.control.Origins.GoOn, request, caller, caller.BegunAs, at)
	}
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

// canBeTakenUp reports whether the caller can take up the stream of this request later, naming it.
func (r *inflight) canBeTakenUp() bool {
	return r.request.Route.Resumable && r.caller.LastEvent == "" && r.caller.ID != ""
}

// expectSoftware lets a stream that can be taken up keep to the software of the endpoint that it is first sent to.
func (r *inflight) expectSoftware(software string) {
	if r.expected == "" && r.canBeTakenUp() && r.service.control.Origins.Expect != nil {
		r.expected = software
	}
}

// expectOrigin records where a stream is about to run that has no event yet. Where endpoints state no software, one may begin at any of them.
func (e *exchange) expectOrigin() {
	if e.startPosition.lastEvent != "" || !e.inflight.canBeTakenUp() {
		return
	}
	origins := e.inflight.service.control.Origins
	if origins.Prepare != nil {
		origins.Prepare(e.context, e.origin())
	}
	if e.startPosition.expected != "" {
		e.recordOrigin(origins.Expect)
	}
}

// origin returns the service and the software of the endpoint.
func (e *exchange) origin() origin.Origin {
	return origin.Origin{Service: e.inflight.request.Service, Software: e.assignment.Endpoint.Software}
}

// recordOrigin records the endpoint of the exchange for a stream that its caller can take up.
func (e *exchange) recordOrigin(record func(now time.Time, key origin.Key, at origin.Origin, until time.Time)) {
	r := e.inflight
	if record == nil || !r.canBeTakenUp() {
		return
	}
	r.service.recordAt(record, r.request, r.caller, r.caller.ID, e.origin())
}

// recordAt records an origin of the stream that an attempt of a caller began.
func (s *Service) recordAt(record func(now time.Time, key origin.Key, at origin.Origin, until time.Time), request *deployment.Request, caller CallerHeader, attempt string, at origin.Origin) {
	until := request.Arrived.Add(streamLifetime(request.Route, caller))
	record(s.options.Now(), origin.KeyOf(request.Route.Name, attempt), at, until)
}

// refuseUnknownOrigin ends a request that takes up a stream of which it is not known where it began.
func (r *inflight) refuseUnknownOrigin() {
	r.end(attempt.OriginUnknown, nil)
}
