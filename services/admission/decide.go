// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"github.com/shelfledge/shelfledge/models/deployment"
)

// Reason says why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// AdapterNotLoaded: the adapter will not be there in time.
	AdapterNotLoaded Reason = "adapter not loaded"
	// NoEndpoint: no endpoint of the service takes work.
	NoEndpoint Reason = "no endpoint"
	// Crowded: the endpoints that hold the adapter have too much to do.
	Crowded Reason = "endpoints crowded"
)

// Situation is what is known of a request that waits.
type Situation struct {
	Route    *deployment.Route
	Arrived  time.Time
	Deadline time.Time
	// NoEndpoint says that no endpoint of the service takes work at all.
	NoEndpoint bool
	// Crowded says that the adapter is there, but its endpoints have too much to do.
	Crowded bool
	// Expected is when the adapter is expected to be resident; zero if that is not known.
	Expected time.Time
}

// Decision is what becomes of the request.
type Decision struct {
	Wait       bool
	Reason     Reason
	RetryAfter time.Duration
}

const (
	// patienceGap and the two factors are after which silence callers give a stream up: the
	// longest of a span, of so many targets and of so many pauses.
	patienceGap     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	// waitShare is the part of a caller's patience that may be spent on waiting.
	waitShare = 0.7
	// plainWait is how long a plain request waits for an endpoint.
	plainWait = 100 * time.Millisecond
	// crowdedPause is when a caller refused for crowded endpoints should come back.
	crowdedPause = 1500 * time.Millisecond
	// retryPause is the least time after which a refused caller should come back.
	retryPause = 400 * time.Millisecond
	// promptFrom and promptShare are the parts of its target between which a request may be refused as
	// hopeless: before, the planner's word on its adapter may still be on the way; after, the refusal
	// would not be prompt enough for the caller to be served in time by another attempt.
	promptFrom  = 0.13
	promptShare = 0.25
	// firstToken is the time from the choice of an endpoint to the first event of a usual prompt.
	firstToken = 150 * time.Millisecond
	// returnMargin is how long after the expected time a refused caller should come back.
	returnMargin = 150 * time.Millisecond
)

// Decide tells whether to wait on.
func Decide(now time.Time, situation Situation) Decision {
	waited := now.Sub(situation.Arrived)
	if waited < waitLimit(situation) && !hopeless(waited, situation) {
		return Decision{Wait: true}
	}
	if situation.NoEndpoint {
		return Decision{Reason: NoEndpoint, RetryAfter: retryPause}
	}
	if situation.Crowded {
		return Decision{Reason: Crowded, RetryAfter: crowdedPause}
	}
	return Decision{Reason: AdapterNotLoaded, RetryAfter: retryAfter(now, situation)}
}

// hopeless tells whether the adapter is expected after the request would be refused anyway, while a
// refusal is still prompt: a caller that comes back when the adapter is there is served in time by that
// attempt. The bound is not the target: forecasts are often too late, and a request that is
// refused though its adapter would have come in time loses more than one that is served late.
func hopeless(waited time.Duration, situation Situation) bool {
	if situation.Route.Kind != deployment.Streaming || situation.Expected.IsZero() || situation.NoEndpoint || situation.Crowded {
		return false
	}
	target := float64(situation.Route.Target)
	if float64(waited) < promptFrom*target || float64(waited) > promptShare*target {
		return false
	}
	return situation.Expected.Add(firstToken).After(situation.Arrived.Add(waitLimit(situation)))
}

func waitLimit(situation Situation) time.Duration {
	remaining := situation.Deadline.Sub(situation.Arrived)
	if situation.Route.Kind != deployment.Streaming {
		return min(plainWait, remaining/4)
	}
	if situation.NoEndpoint {
		return min(situation.Route.Target/4, remaining/4)
	}
	return min(time.Duration(float64(Patience(situation.Route))*waitShare), remaining/2)
}

// Patience is after how long a silence a caller gives a stream up.
func Patience(route *deployment.Route) time.Duration {
	return max(patienceGap, patienceTargets*route.Target, patiencePauses*route.PauseTarget)
}

func retryAfter(now time.Time, situation Situation) time.Duration {
	return max(retryPause, situation.Expected.Sub(now)+returnMargin)
}
