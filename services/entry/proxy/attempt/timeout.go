// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
)

const (
	// defaultRequestTimeout limits requests whose route and caller set no time-out. A longer time lets slow responses complete; a
	// shorter one releases sooner the resources of abandoned requests.
	defaultRequestTimeout = 10 * time.Minute
	// hedgeTimeDivisor divides the time to the deadline of a request with a response that is not a stream: after one such part
	// without the response head, the request is sent to another endpoint as well. A higher value leaves more time for the second
	// endpoint, a lower one duplicates fewer requests.
	hedgeTimeDivisor = 2
	// minHedgeDelay is the shortest silence after which another endpoint is searched for. A longer time leaves the last moments before
	// a deadline to the current endpoint alone; a shorter one acquires endpoints that can no longer respond in time.
	minHedgeDelay = 50 * time.Millisecond
	// silenceParts of silenceParts + 1 parts, nine tenths, of the time that callers wait must have passed in silence for a caller's
	// disconnect to count against the endpoint: callers measure from when they sent, and on their own clocks. More parts miss more
	// endpoints that are stuck, fewer parts count disconnects that happened by chance.
	silenceParts = 9
	// hedgePauseTargets is the number of the route's pause targets without an event after which another endpoint is searched for, if
	// the stream can be resumed there. A higher number waits longer for a slow endpoint; a lower one resumes streams that would have
	// continued.
	hedgePauseTargets = 4
	// retryTimeoutDivisor divides the caller's silence time-out: for one such part, an interrupted stream waits until the fleet's
	// budget grants its retry. A higher value gives the stream up sooner, a lower one leaves less time for its next event.
	retryTimeoutDivisor = 2
	// otherEndpointsTimeout is how long only other endpoints are asked to resume an interrupted stream, before its own endpoint may as
	// well. A longer time protects an endpoint that fails; a shorter one resumes sooner if it is the only one with the adapter.
	otherEndpointsTimeout = 100 * time.Millisecond
)

// Deadline returns when a request ends in any case: after the shorter of the route's time-out (from the settings) and the caller's
// (from its header; 0 if it specified none).
func Deadline(arrived time.Time, route *deployment.Route, callerTimeout time.Duration) time.Time {
	limit := route.Timeout
	if callerTimeout > 0 && (limit <= 0 || callerTimeout < limit) {
		limit = callerTimeout
	}
	if limit <= 0 {
		limit = defaultRequestTimeout
	}
	return arrived.Add(limit)
}

// EndpointWasSilent reports whether a stream's endpoint has sent nothing for about as long as callers of the route wait: a caller that
// disconnects then did so because of the silence.
func EndpointWasSilent(s Situation) bool {
	return s.Route.Kind == deployment.Streaming && s.Silent >= admission.SilenceTimeout(s.Route)*silenceParts/(silenceParts+1)
}

// HedgeDelay returns the silence of its endpoint after which a request is sent to another endpoint as well; false if that is not
// allowed or there is no time left. The current exchange continues until the other endpoint has started to respond.
func HedgeDelay(now time.Time, s Situation) (after time.Duration, searches bool) {
	if !s.Route.Retryable() || !CanResumeElsewhere(s) || !s.BodyBuffered {
		return 0, false
	}
	left := s.Deadline.Sub(now)
	switch {
	case s.Route.Kind != deployment.Streaming:
		after = left / hedgeTimeDivisor
	case !s.HeadForwarded:
		after = admission.SilenceTimeout(s.Route)
	case s.EventForwarded:
		after = hedgePauseTargets * s.Route.TargetPause
	}
	return after, after >= minHedgeDelay && after < left
}

// RetryTimeout returns how long an interrupted stream waits for the fleet's budget to grant a retry.
func RetryTimeout(route *deployment.Route) time.Duration {
	return admission.SilenceTimeout(route) / retryTimeoutDivisor
}

// OtherEndpointsTimeout returns how long only other endpoints are asked to resume an interrupted stream.
func OtherEndpointsTimeout() time.Duration {
	return otherEndpointsTimeout
}
