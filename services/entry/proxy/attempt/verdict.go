// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"net/http"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// Verdict is the consequence of the end of an attempt for the request and for the endpoint.
type Verdict struct {
	Result Result
	// Outcome is how the exchange counts for the endpoint's health.
	Outcome directory.Outcome
	// Missing is set if the endpoint does not hold the adapter, or not at the required version.
	Missing bool
}

// Failure is how an exchange failed before a response head was received.
type Failure int

// The failures of exchanges, derived from the errors of package upstream.
const (
	// NoFailure means that the exchange has not failed so.
	NoFailure Failure = iota
	// NoConnectionFree means that all allowed connections to the endpoint are in use.
	NoConnectionFree
	// NoDescriptorFree means that no connection was established for want of a free descriptor at this instance.
	NoDescriptorFree
	// NothingWritten means that no connection was established, or that no byte of the request was written.
	NothingWritten
	// ConnectionRefused means that nothing listens at the endpoint's address.
	ConnectionRefused
	// NoHead means that a part or all of the request was written, and that no response head was received.
	NoHead
	// AnswerTooLong and AnswerTooSlow mean that bytes arrived in place of a response head, too many or for too long.
	AnswerTooLong
	AnswerTooSlow
)

// IsOwnLimit reports whether a limit of this instance prevented the exchange, which shows nothing about the endpoint.
func (f Failure) IsOwnLimit() bool {
	return f == NoConnectionFree || f == NoDescriptorFree
}

// EndCause returns what ended an exchange that failed so; empty if that depends on how the exchange ended.
func (f Failure) EndCause() EndCause {
	switch f {
	case NoConnectionFree:
		return EndedByConnectionLimit
	case NoDescriptorFree:
		return EndedByDescriptorLimit
	case AnswerTooLong:
		return EndedByAnswerSize
	case AnswerTooSlow:
		return EndedByAnswerTime
	default:
		return ""
	}
}

// JudgeFailure returns the verdict on an exchange that failed before a response head was received.
func JudgeFailure(failure Failure, s Situation) Verdict {
	verdict := Verdict{Result: NotSent, Outcome: failureOutcome(s)}
	if failure == ConnectionRefused {
		// A refusal is reported only if no other instance reached the endpoint either.
		s.LinkBroken = false
		verdict.Outcome = failureOutcome(s)
	}
	switch {
	case failure == NoHead, failure == AnswerTooLong, failure == AnswerTooSlow:
		verdict.Result = unansweredResult(s)
	case failure.IsOwnLimit():
		verdict.Outcome = directory.Neutral
	case failure == ConnectionRefused && verdict.Outcome == directory.Broken:
		verdict.Outcome = directory.Unreachable
	}
	return verdict
}

// failureOutcome returns how a failed exchange counts for its endpoint. It does not count if the link to the endpoint is at fault, or if
// this instance or the caller ended it: the request was recalled, the caller disconnected, or its body was too large. The exception is a caller that disconnects after a
// long silence of the endpoint: this is the only sign of an endpoint that is stuck, because no exchange is ended here for silence.
func failureOutcome(s Situation) directory.Outcome {
	if s.LinkBroken || s.Recalled || s.BodyTooLarge || (s.CallerLeft && !EndpointWasSilent(s)) {
		return directory.Neutral
	}
	return directory.Broken
}

// unansweredResult returns the result of an exchange of which nothing was forwarded, and which may have run.
func unansweredResult(s Situation) Result {
	if s.Recalled {
		return Recalled
	}
	return Uncertain
}

// Head describes the head of an endpoint's response.
type Head struct {
	// Status is the status code of the response.
	Status int
	// NotRun is set if the header or status of the response proves that the request did not run and will not run.
	NotRun bool
	// FromEndpoint is set if the header of the response carries the endpoint's identifying mark.
	FromEndpoint bool
	// Resumes is set if the caller already has the head and some events of another endpoint's response.
	Resumes bool
	// Kind is the kind of the route, and Retryable is set if a request that may have run may be sent again, from the settings.
	Kind      deployment.RouteKind
	Retryable bool
}

// Handling is how a response is processed after its head.
type Handling int

// The ways to process a response.
const (
	// Reject forwards nothing; the verdict applies.
	Reject Handling = iota
	// ForwardStream forwards the head, and the events as they arrive.
	ForwardStream
	// ResumeStream forwards only the events.
	ResumeStream
	// ForwardWhole forwards a response that is not a stream.
	ForwardWhole
)

// JudgeHead decides how a response is processed. The verdict is set for rejected responses only.
func JudgeHead(head Head) (Handling, Verdict) {
	success := head.Status < http.StatusMultipleChoices
	switch {
	case head.NotRun && head.Status != http.StatusBadRequest:
		// A request that is itself invalid would get the same response from every endpoint, so the response is forwarded.
		return Reject, Verdict{Result: NotRun, Outcome: directory.Refused, Missing: head.Status == http.StatusMisdirectedRequest}
	case success && !head.FromEndpoint:
		// An intermediary responded instead of the endpoint.
		return Reject, Verdict{Result: Uncertain, Outcome: directory.Broken}
	case !head.Retryable && PromisesNotRun(head.Status):
		return Reject, Verdict{Result: RefusedWithoutProof, Outcome: directory.Errored}
	case head.Resumes && !success:
		return Reject, Verdict{Result: Interrupted, Outcome: directory.Errored}
	case head.Resumes:
		return ResumeStream, Verdict{}
	case head.Kind == deployment.Streaming && success:
		return ForwardStream, Verdict{}
	default:
		return ForwardWhole, Verdict{}
	}
}

// JudgeWhole returns the verdict on a response that was read completely before any part of it was forwarded.
func JudgeWhole(status int) Verdict {
	if IsFailure(status) {
		return Verdict{Result: ServerError, Outcome: directory.Errored}
	}
	return Delivered()
}

// JudgeForwarded returns the verdict on a response of which no other endpoint's could take the place, after it was forwarded completely.
func JudgeForwarded(status int) Verdict {
	if IsFailure(status) {
		return Verdict{Result: Finished, Outcome: directory.Errored}
	}
	return Delivered()
}

// IsFailure reports whether the status of a response, which gives no proof that the request did not run, means that the endpoint failed: a
// server error, or a status with which an endpoint only refuses what it has not run.
func IsFailure(status int) bool {
	return status >= http.StatusInternalServerError || PromisesNotRun(status)
}

// PromisesNotRun reports whether a response status promises a caller that its request has not run and will not run, so that the caller may
// send again even what must not run twice.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Delivered returns the verdict on a response that was delivered completely.
func Delivered() Verdict {
	return Verdict{Result: Finished, Outcome: directory.Succeeded}
}

// Undelivered returns the verdict on a response of which the caller accepts no more.
func Undelivered() Verdict {
	return Verdict{Result: Interrupted, Outcome: directory.Neutral}
}

// JudgeInterrupted returns the verdict on a response whose body was interrupted.
func JudgeInterrupted(s Situation) Verdict {
	if s.HeadForwarded {
		return Verdict{Result: Interrupted, Outcome: failureOutcome(s)}
	}
	return Verdict{Result: unansweredResult(s), Outcome: failureOutcome(s)}
}
