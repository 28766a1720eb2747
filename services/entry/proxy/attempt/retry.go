// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import "time"

// Step is the next step after the end of an attempt.
type Step int

// The steps after an attempt.
const (
	// Done means that the caller has the response.
	Done Step = iota
	// TryNext means to acquire another endpoint. Nothing was sent, so this does not count as a retry.
	TryNext
	// RetryWithinBudget means to acquire another endpoint if the fleet's budget grants a retry, and to end the request otherwise.
	RetryWithinBudget
	// GiveUp means to end the request; see the function End.
	GiveUp
)

// maxUnreached is the number of endpoints to which nothing can be sent before the request is given up. A higher number finds a
// reachable endpoint after many have failed at once; a lower one responds sooner.
const maxUnreached = 3

const (
	// maxResumesInPlace is how many times in a row, without a further event, a stream may be resumed at the endpoint that sent the
	// caller's events. A higher number tolerates an endpoint that interrupts streams often; a lower one ends sooner a stream that no
	// endpoint will complete.
	maxResumesInPlace = 5
	// maxRefusedInPlace is the same limit while the endpoint refuses the stream instead of interrupting it: the endpoint has reported
	// that it cannot continue. A higher value tolerates an endpoint that is briefly full; a lower one ends sooner a stream that no
	// endpoint accepts.
	maxRefusedInPlace = 2
	// initialResumeBackoff is the pause before the second resumption in a row at the same endpoint; each further pause is twice as
	// long, 1.5 s in total. A longer time gives an endpoint more time to recover; a shorter one delivers the next event sooner.
	initialResumeBackoff = 100 * time.Millisecond
)

// CanResumeInPlace reports whether a stream may be resumed at the endpoint that sent the caller's events, which does not count as a
// further endpoint.
func CanResumeInPlace(s Situation) bool {
	limit := maxResumesInPlace
	if s.Refused {
		limit = maxRefusedInPlace
	}
	return s.EventForwarded && s.Route.Resumable && !s.ServedGone && s.InPlace < limit
}

// ResumeBackoff returns how long a stream waits before it is resumed at the same endpoint; 0 the first time after an event.
func ResumeBackoff(s Situation) time.Duration {
	if s.InPlace == 0 {
		return 0
	}
	return initialResumeBackoff << (s.InPlace - 1)
}

// CanResumeElsewhere reports whether a stream may be resumed at an endpoint that was not sent the request yet.
func CanResumeElsewhere(s Situation) bool {
	return s.Sent < s.Route.MaxAttempts && !s.OnlyInPlace
}

// NextStep decides what follows the end of an attempt.
func NextStep(now time.Time, result Result, s Situation) Step {
	switch result {
	case Finished:
		return Done
	case NotSent:
		if s.Unreached < maxUnreached && !s.ContextEnded {
			return TryNext
		}
		return GiveUp
	}
	if mayRetry(now, result, s) {
		return RetryWithinBudget
	}
	return GiveUp
}

// mayRetry reports whether the request may be sent to another endpoint, regardless of the fleet's budget.
func mayRetry(now time.Time, result Result, s Situation) bool {
	if s.timedOut(now) || !s.BodyBuffered {
		return false
	}
	if !CanResumeElsewhere(s) && !CanResumeInPlace(s) {
		return false
	}
	if s.MayHaveRun && !s.Route.Retryable() {
		return false
	}
	return result != Interrupted || s.EventForwarded
}

// ProvesNotRun reports whether the result of an attempt proves that the request did not run.
func ProvesNotRun(result Result) bool {
	return result == NotSent || result == NotRun
}

// MayHaveRun reports whether the request may have run in an attempt with this result that got no complete response.
func MayHaveRun(result Result) bool {
	return !ProvesNotRun(result) && !HasCompleteResponse(result)
}

// HasCompleteResponse reports whether an attempt with this result got a complete response, including a refusal.
func HasCompleteResponse(result Result) bool {
	return result == Finished || result == NotRun || result == ServerError || result == RefusedWithoutProof
}
