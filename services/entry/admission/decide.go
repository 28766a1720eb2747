// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Reason says why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// AdapterNotLoaded: the adapter will not be there in time.
	AdapterNotLoaded Reason = "adapter not loaded"
	// NoEndpoint: no endpoint of the service takes work.
	NoEndpoint Reason = "no endpoint"
	// Saturated: the endpoints that hold the adapter have too many requests in flight. The text keeps the form that operators
	// know.
	Saturated Reason = "endpoints crowded"
	// Limited: the endpoints that could run it take no more requests for now, by the limits that they name.
	Limited Reason = "endpoints limited"
	// Resting: the endpoints that could run it asked this instance for rest.
	Resting Reason = "endpoints rest"
	// Quarantined: endpoints ended while they had the same request, one after the other.
	Quarantined Reason = "crashes endpoints"
)

// Situation is what is known of a request that waits.
type Situation struct {
	// Route is the route that the request matched, with its targets (durations); from the settings in force.
	Route *deployment.Route
	// Arrived is when this instance began to serve the request; own clock.
	Arrived time.Time
	// Deadline is Arrived plus the shorter of the caller's time-out (its header) and the route's (settings).
	Deadline time.Time
	// NoEndpoint says that no endpoint of the service takes work at all; verdict of package balance on this instance's
	// directory at the present time.
	NoEndpoint bool
	// Saturated says that the adapter is there, but its endpoints have too many requests in flight; verdict of package balance,
	// from own counts and the other instances' as of the planner's last view.
	Saturated bool
	// Limited says that endpoints could run it, but take no more requests for now by the limits that they name; verdict of package balance.
	Limited bool
	// Resting says the same of endpoints that asked this instance for rest.
	Resting bool
	// Turn is when the limits are expected to let it be sent, or the first endpoint has rested; zero where another one may come to run it.
	// From the limits, from what waits for them by the planner's last view, and from what endpoints asked for.
	Turn time.Time
	// Spread is a number from 0 up to 1 by which refused callers come back at different times.
	Spread float64
	// Expected is when the adapter is expected to be resident; zero if that is not known. It comes from the planner's last
	// view (forecasts come with its heartbeats), or, while no planner orders, from the usual time of a hand-over.
	Expected time.Time
	// NobodyOrders says that no planner orders loads now, so that no forecast is on the way that could change Expected.
	NobodyOrders bool
}

// Decision is what becomes of the request.
type Decision struct {
	// Wait says that the request goes on waiting; the other fields are zero then.
	Wait bool
	// Reason is why it is refused; it stands as "reason" in the request's log line.
	Reason Reason
	// RetryAfter is how long the caller should wait before it comes back.
	RetryAfter time.Duration
}

const (
	// leastSilenceTimeout and the two factors (counts of the route's targets and pause targets) are after which silence callers give a
	// stream up: the longest of the three. Longer waits for endpoints that may answer when nobody listens any more, shorter gives up
	// answers that would have come.
	leastSilenceTimeout = 2 * time.Second
	silenceTargets      = 4
	silencePauses       = 8
	// waitShare is the part of that silence that a request may spend on waiting for an endpoint; the rest is for its answer. Higher serves
	// more requests late, lower refuses more that would have been served.
	waitShare = 0.7
	// streamWaitParts bounds the wait of a stream by one part in so many of its time to the deadline. Fewer parts leave less time for the
	// answer.
	streamWaitParts = 2
	// plainWait is how long a request of a route that does not stream waits for an endpoint, with an adapter or without, and at most a
	// quarter of its time to the deadline (shortWaitParts): waiting seldom helps it. Longer bridges the replacement of endpoints, shorter
	// refuses in time for another attempt.
	plainWait = 100 * time.Millisecond
	// shortWaitParts bounds waits that seldom help (requests that do not stream, and streams without any endpoint) by one part in so many
	// of the time to the deadline, and of a stream's target. More parts refuse sooner.
	shortWaitParts = 4
	// saturatedPause is when a caller refused for saturated endpoints should come back: a stream takes seconds. Longer spares the
	// endpoints, shorter serves sooner.
	saturatedPause = 1500 * time.Millisecond
	// retryPause is the least time after which a refused caller should come back. Longer spares the instances, shorter serves sooner.
	retryPause = 400 * time.Millisecond
	// forecastTime is how long after its arrival a request is not refused as hopeless, since the planner may not have heard of it and its
	// forecast may be on the way. Longer holds requests that cannot be served, shorter refuses some that would have been.
	forecastTime = 80 * time.Millisecond
	// firstTokenTime is the usual time from the choice of an endpoint to the first event. Longer refuses more requests as hopeless.
	firstTokenTime = 150 * time.Millisecond
	// returnMargin is how long after the expected time of the adapter a refused caller should come back. Longer is safer against late
	// loads, shorter serves sooner.
	returnMargin = 150 * time.Millisecond
)

// Decide reports whether a request goes on waiting or is refused now, with the reason and the time to come back.
func Decide(now time.Time, situation Situation) Decision {
	waited := now.Sub(situation.Arrived)
	if waited < waitLimit(situation) && !hopeless(waited, situation) {
		return Decision{Wait: true}
	}
	if situation.NoEndpoint {
		return Decision{Reason: NoEndpoint, RetryAfter: retryPause}
	}
	if situation.Limited {
		return Decision{Reason: Limited, RetryAfter: turnPause(now, situation)}
	}
	if situation.Resting {
		return Decision{Reason: Resting, RetryAfter: turnPause(now, situation)}
	}
	if situation.Saturated {
		return Decision{Reason: Saturated, RetryAfter: saturatedPause}
	}
	return Decision{Reason: AdapterNotLoaded, RetryAfter: retryAfter(now, situation)}
}

// turnPause is when a caller should come back that was refused since endpoints hold it back: between its turn and twice as late, so that
// those who were refused together do not come back together.
func turnPause(now time.Time, situation Situation) time.Duration {
	turn := max(retryPause, situation.Turn.Sub(now))
	return turn + time.Duration(situation.Spread*float64(turn))
}

// hopeless reports whether the adapter, or the request's turn, is expected after the request would be refused anyway. The bound is not the target:
// a request that is refused though its adapter would have come loses more than one that is served late.
func hopeless(waited time.Duration, situation Situation) bool {
	if situation.Limited || situation.Resting {
		return situation.Turn.After(situation.Arrived.Add(waitLimit(situation)))
	}
	if situation.Route.Kind != deployment.Streaming || situation.Expected.IsZero() || situation.NoEndpoint || situation.Saturated {
		return false
	}
	if waited < forecastTime && !situation.NobodyOrders {
		return false
	}
	return situation.Expected.Add(firstTokenTime).After(situation.Arrived.Add(waitLimit(situation)))
}

// waitLimit is how long a request may wait for an endpoint, from its arrival on.
func waitLimit(situation Situation) time.Duration {
	remaining := situation.Deadline.Sub(situation.Arrived)
	if situation.Route.Kind != deployment.Streaming {
		return min(plainWait, remaining/shortWaitParts)
	}
	if situation.NoEndpoint {
		return min(situation.Route.TargetLatency/shortWaitParts, remaining/shortWaitParts)
	}
	return min(time.Duration(float64(SilenceTimeout(situation.Route))*waitShare), remaining/streamWaitParts)
}

// SilenceTimeout is after how long a silence callers give a stream of a route up.
func SilenceTimeout(route *deployment.Route) time.Duration {
	return max(leastSilenceTimeout, silenceTargets*route.TargetLatency, silencePauses*route.TargetPause)
}

// retryAfter is when a caller whose adapter is not there should come back: when it is expected.
func retryAfter(now time.Time, situation Situation) time.Duration {
	return max(retryPause, situation.Expected.Sub(now)+returnMargin)
}
