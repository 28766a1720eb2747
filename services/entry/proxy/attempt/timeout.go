// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
)

const (
	// longestRequest bounds requests whose route and caller set no limit. Longer lets slow answers end, shorter frees what forgotten
	// requests hold.
	longestRequest = 10 * time.Minute
	// retryTimeParts is in how many parts the time to the deadline is cut of an answer that comes whole: after one of them without its
	// head, another endpoint is sent the request as well. More parts leave more time for that, fewer send less twice.
	retryTimeParts = 2
	// leastSearch is the shortest silence after which another endpoint is looked for. Longer leaves the last moments before a deadline to
	// the present endpoint alone, shorter asks for places that can't answer any more.
	leastSearch = 50 * time.Millisecond
	// silentParts of silentParts + 1 parts, nine tenths, of the span that callers listen must have passed in silence for the endpoint to be
	// blamed for a caller that left: callers count from when they sent, and by their own clocks. More parts blame fewer endpoints that
	// stand still, fewer blame some whose caller left by chance.
	silentParts = 9
	// resumePauses is after how many of the route's pause targets without an event another endpoint is looked for, where the stream can go
	// on there. More wait for a slow endpoint, fewer resume streams that would have gone on.
	resumePauses = 4
	// resumeWaitParts is of how many parts of the caller's silence time-out one is spent on waiting until the fleet's budget grants the
	// retry of a stream that broke off. More parts give the stream up sooner, fewer leave less time for its next event.
	resumeWaitParts = 2
	// elsewhereTime is how long other endpoints are asked for a stream that broke off, before its own may take it as well. Longer spares an
	// endpoint that fails, shorter resumes sooner where it is alone with the adapter.
	elsewhereTime = 100 * time.Millisecond
)

// Deadline is when a request ends whatever happens: after the shorter of the route's time-out (settings) and the caller's own
// (its header; 0 where it did not say).
func Deadline(arrived time.Time, route *deployment.Route, callerTimeout time.Duration) time.Time {
	limit := route.Timeout
	if callerTimeout > 0 && (limit <= 0 || callerTimeout < limit) {
		limit = callerTimeout
	}
	if limit <= 0 {
		limit = longestRequest
	}
	return arrived.Add(limit)
}

// WasSilent reports whether a stream's endpoint has sent nothing for about as long as callers of its route listen: a caller that leaves
// then left for that.
func WasSilent(s Situation) bool {
	return s.Route.Kind == deployment.Streaming && s.Silent >= admission.SilenceTimeout(s.Route)*silentParts/(silentParts+1)
}

// SearchAfter is after how long a silence of its endpoint a request is sent to another one as well; false where it may not be, or where
// there is no time left for it. The present exchange goes on until the other endpoint's answer has begun.
func SearchAfter(now time.Time, s Situation) (after time.Duration, searches bool) {
	if !s.Route.Retryable() || s.Sent >= s.Route.MaxAttempts || !s.BodyHeld {
		return 0, false
	}
	left := s.Deadline.Sub(now)
	switch {
	case s.Route.Kind != deployment.Streaming:
		after = left / retryTimeParts
	case !s.HeadPassed:
		after = admission.SilenceTimeout(s.Route)
	case s.EventPassed:
		after = resumePauses * s.Route.TargetPause
	}
	return after, after >= leastSearch && after < left
}

// RetryWait is how long a stream that broke off waits for the fleet's budget.
func RetryWait(route *deployment.Route) time.Duration {
	return admission.SilenceTimeout(route) / resumeWaitParts
}

// ElsewhereTime is how long only other endpoints are asked to go on with a stream that broke off.
func ElsewhereTime() time.Duration {
	return elsewhereTime
}
