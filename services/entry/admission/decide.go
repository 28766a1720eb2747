// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Reason is why a request is refused.
type Reason string

// The reasons for refusals.
const (
	// AdapterNotLoaded means that the adapter will not be resident in time.
	AdapterNotLoaded Reason = "adapter not loaded"
	// NoEndpoint means that no endpoint of the service accepts requests.
	NoEndpoint Reason = "no endpoint"
	// Saturated means that the endpoints with the adapter have too many requests in flight. The text keeps an earlier wording, "crowded", which
	// operators know.
	Saturated Reason = "endpoints crowded"
	// Limited means that the endpoints that could run the request accept no more requests for now, according to the limits that they
	// report.
	Limited Reason = "endpoints limited"
	// Resting means that the endpoints that could run the request asked this instance for a rest.
	Resting Reason = "endpoints rest"
	// Quarantined means that several endpoints ended, one after the other, while they had the same request.
	Quarantined Reason = "crashes endpoints"
)

// Situation is the known state of a waiting request.
type Situation struct {
	// Route is the route that the request matched, with its targets (durations), from the settings in force.
	Route *deployment.Route
	// Arrived is when this instance started to serve the request, on its own clock.
	Arrived time.Time
	// Deadline is Arrived plus the shorter of the caller's time-out (from its header) and the route's (from the settings).
	Deadline time.Time
	// NoEndpoint is set if no endpoint of the service accepts requests at all, according to package balance and this instance's
	// directory at the current time.
	NoEndpoint bool
	// Saturated is set if endpoints have the adapter, but too many requests in flight, according to package balance. The counts are
	// this instance's own and those of the other instances as of the planner's last view.
	Saturated bool
	// Brittle is set if the endpoints of the service fall over if they reject too many requests, so that they are sent no more than they have
	// places for; a place comes free with each request that ends.
	Brittle bool
	// Limited is set if endpoints could run the request, but accept no more requests for now by the limits that they report,
	// according to package balance.
	Limited bool
	// Resting is set if endpoints could run the request, but asked this instance for a rest, according to package balance.
	Resting bool
	// Suspected is set if it is not decided yet whether the request may be sent although endpoints ended while they had it, according to
	// package quarantine.
	Suspected bool
	// SendableAt is when that is decided, when the limits are expected to allow the request to be sent, or when the first rest of an endpoint ends; zero if
	// another endpoint may become able to run the request. It is derived from the limits, from the requests that wait for them by the
	// planner's last view, and from the rests that endpoints asked for.
	SendableAt time.Time
	// Jitter is a number in [0, 1) that makes refused callers retry at different times.
	Jitter float64
	// AdapterExpectedAt is when the adapter is expected to be resident; zero if unknown. It comes from the planner's last view (which is
	// updated with its heartbeats) or, while no planner is active, from the usual duration of a planner handover.
	AdapterExpectedAt time.Time
	// AdapterMayComeSooner is set if the adapter may be resident long before AdapterExpectedAt. The request then waits as long as any: a
	// refusal may spend its caller's last try just before the adapter is resident.
	AdapterMayComeSooner bool
	// NoActivePlanner is set while no planner can order loads, so that no forecast can arrive that would change AdapterExpectedAt.
	NoActivePlanner bool
}

// Decision is the result of Decide for a request.
type Decision struct {
	// Wait is set if the request continues to wait; the other fields are zero then.
	Wait bool
	// Reason is why the request is refused; it is the "reason" in the request's log line.
	Reason Reason
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

const (
	// minSilenceTimeout and the two factors (multiples of the route's target and pause target) determine the silence after which
	// callers give up a stream: the longest of the three applies. A longer time waits for endpoints that may respond when the caller
	// has already left; a shorter one gives up responses that would have arrived.
	minSilenceTimeout        = 2 * time.Second
	silenceTargetFactor      = 4
	silencePauseTargetFactor = 8
	// silenceWaitShare is the share of the silence time-out that a request may spend waiting for an endpoint; the remainder is for its
	// response. A higher value serves more requests late; a lower one refuses more that would have been served.
	silenceWaitShare = 0.7
	// streamWaitDivisor limits the wait of a stream to the time to its deadline divided by this number. A lower number leaves less
	// time for the response.
	streamWaitDivisor = 2
	// maxPlainWait is how long a request of a route without streaming waits for an endpoint, with an adapter or without, and at most a
	// quarter of its time to the deadline (shortWaitDivisor): waiting seldom helps it. A longer time bridges the replacement of
	// endpoints; a shorter one refuses early enough for another attempt.
	maxPlainWait = 100 * time.Millisecond
	// shortWaitDivisor limits waits that seldom help (of requests without streaming, and of streams without any endpoint) to the time
	// to the deadline, and for streams also the target, divided by this number. A higher number refuses sooner.
	shortWaitDivisor = 4
	// suspectWaitDivisor limits the wait for the decision whether a request without streaming may be sent to the time to its deadline
	// divided by this number. It exceeds maxPlainWait, since the decision may come after an earlier attempt. A lower number leaves less
	// time for the response.
	suspectWaitDivisor = 2
	// saturatedRetryAfter is when a caller that was refused because of saturated endpoints should retry: a stream takes seconds. A
	// longer time reduces the load on the endpoints; a shorter one serves sooner.
	saturatedRetryAfter = 1500 * time.Millisecond
	// minRetryAfter is the minimum time after which a refused caller should retry. A longer time reduces the load on the instances; a
	// shorter one serves sooner.
	minRetryAfter = 400 * time.Millisecond
	// forecastDelay is the time after its arrival during which a request is not refused because its adapter comes too late: the
	// planner may not have received the request yet, and an updated forecast may be under way. A longer time holds requests that
	// cannot be served; a shorter one refuses some that would have been.
	forecastDelay = 80 * time.Millisecond
	// firstTokenLatency is the usual time from the choice of an endpoint to the first event. A longer time refuses more requests as
	// too late.
	firstTokenLatency = 150 * time.Millisecond
	// retryAfterMargin is how long after the expected time of the adapter a refused caller should retry. A longer time is safer
	// against late loads; a shorter one serves sooner.
	retryAfterMargin = 150 * time.Millisecond
)

// Decide returns whether a request continues to wait or is refused now, and for a refusal the reason and the time to retry.
func Decide(now time.Time, situation Situation) Decision {
	waited := now.Sub(situation.Arrived)
	if waited < waitLimit(situation) && !availableTooLate(waited, situation) {
		return Decision{Wait: true}
	}
	if situation.Suspected {
		return Decision{Reason: Quarantined, RetryAfter: minRetryAfter}
	}
	if situation.NoEndpoint {
		return Decision{Reason: NoEndpoint, RetryAfter: minRetryAfter}
	}
	if situation.Limited {
		return Decision{Reason: Limited, RetryAfter: jitteredRetryAfter(now, situation)}
	}
	if situation.Resting {
		return Decision{Reason: Resting, RetryAfter: jitteredRetryAfter(now, situation)}
	}
	if situation.Saturated {
		return Decision{Reason: Saturated, RetryAfter: saturatedRetry(now, situation)}
	}
	return Decision{Reason: AdapterNotLoaded, RetryAfter: retryAfter(now, situation)}
}

// saturatedRetry returns when a caller should retry that was refused because of saturated endpoints. A place of a request without streaming
// comes free sooner than that of a stream.
func saturatedRetry(now time.Time, situation Situation) time.Duration {
	if situation.Brittle && situation.Route.Kind != deployment.Streaming {
		return jitteredRetryAfter(now, situation)
	}
	return saturatedRetryAfter
}

// jitteredRetryAfter returns when a caller should retry that was refused because of limits, rests or saturated endpoints: between the time
// at which its request could be sent and twice that time, so that callers that were refused together do not retry together.
func jitteredRetryAfter(now time.Time, situation Situation) time.Duration {
	turn := max(minRetryAfter, situation.SendableAt.Sub(now))
	return turn + time.Duration(situation.Jitter*float64(turn))
}

// availableTooLate reports whether the adapter, or the time at which the request can be sent, is expected only after the end of the
// request's wait. The end of the wait applies and not the route's target: refusing a request whose adapter would have come costs more
// than serving it late.
func availableTooLate(waited time.Duration, situation Situation) bool {
	if situation.Limited || situation.Resting || situation.Suspected {
		return situation.SendableAt.After(situation.Arrived.Add(waitLimit(situation)))
	}
	if situation.Route.Kind != deployment.Streaming || situation.AdapterExpectedAt.IsZero() || situation.NoEndpoint || situation.Saturated {
		return false
	}
	if situation.AdapterMayComeSooner {
		return false
	}
	if waited < forecastDelay && !situation.NoActivePlanner {
		return false
	}
	return situation.AdapterExpectedAt.Add(firstTokenLatency).After(situation.Arrived.Add(waitLimit(situation)))
}

// waitLimit returns how long a request may wait for an endpoint after its arrival.
func waitLimit(situation Situation) time.Duration {
	remaining := situation.Deadline.Sub(situation.Arrived)
	if situation.Route.Kind != deployment.Streaming {
		if situation.Suspected {
			return remaining / suspectWaitDivisor
		}
		if situation.Saturated && situation.Brittle {
			return min(max(maxPlainWait, situation.Route.TargetLatency), remaining/shortWaitDivisor)
		}
		return min(maxPlainWait, remaining/shortWaitDivisor)
	}
	if situation.NoEndpoint {
		return min(situation.Route.TargetLatency/shortWaitDivisor, remaining/shortWaitDivisor)
	}
	return min(time.Duration(float64(SilenceTimeout(situation.Route))*silenceWaitShare), remaining/streamWaitDivisor)
}

// SilenceTimeout returns the silence after which callers give up a stream of a route.
func SilenceTimeout(route *deployment.Route) time.Duration {
	return max(minSilenceTimeout, silenceTargetFactor*route.TargetLatency, silencePauseTargetFactor*route.TargetPause)
}

// retryAfter returns when a caller whose adapter is not resident should retry: when the adapter is expected.
func retryAfter(now time.Time, situation Situation) time.Duration {
	return max(minRetryAfter, situation.AdapterExpectedAt.Sub(now)+retryAfterMargin)
}
