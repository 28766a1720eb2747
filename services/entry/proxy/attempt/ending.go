// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/admission"
)

// Reason is why a request failed: the "reason" in the log line, and the text of the response if one is sent. If no endpoint accepted
// the request, it is the text of an admission.Reason.
type Reason string

// The reasons with which End and EndWithoutEndpoint end a request.
const (
	// EndpointError means that the endpoint responded with a server error, or refused without proof, and that its response was forwarded,
	// since no retry was allowed.
	EndpointError Reason = "error of the endpoint"
	// UnprovenRefusal means that the endpoint refused a request, which must not run again, without proof that it has not run. The caller
	// must not get the endpoint's status, which would promise that.
	UnprovenRefusal Reason = "refusal without proof"
	// CallerLeft means that the caller closed its connection.
	CallerLeft Reason = "caller left"
	// StreamInterrupted means that the endpoint ended a response after a part of it was forwarded, and that the response could not be
	// resumed. It is also used for a deadline that passes during a stream, for a response without a stream that is interrupted after
	// its beginning was forwarded, and for a resumable stream whose retry the fleet's budget refused.
	StreamInterrupted Reason = "stream broke off"
	// RefusedByEndpoint means that the request certainly did not run: the endpoint reported so, or nothing could be sent.
	RefusedByEndpoint Reason = "refused by the endpoint"
	// LimitOfInstance means that the request certainly did not run: a limit of this instance, on its connections or descriptors, prevented the
	// last attempt.
	LimitOfInstance Reason = "limit of the instance"
	// TimedOut means that the request may have run, and that its deadline has passed.
	TimedOut Reason = "timed out"
	// NotStartedInTime means that the request was recalled from an endpoint with a former adapter version, because it had not started
	// to run in time there. It may have run, and no retry was allowed.
	NotStartedInTime Reason = "not begun in time"
	// NoAnswer means that the request may have run, that the endpoint sent no response, and that no retry was allowed.
	NoAnswer Reason = "no answer from the endpoint"
	// StreamNotResumed means that a stream was interrupted and no other endpoint could continue it, or that the caller disconnected
	// while waiting for one.
	StreamNotResumed Reason = "stream not resumed"
	// NoEndpointForRetry means that the request may have run, and that no other endpoint accepted it before the end of its wait or
	// its deadline. The text keeps an earlier wording, "repeat" for a retry.
	NoEndpointForRetry Reason = "no endpoint for a repeat"
	// ProcessEnded means that the shutdown of the process aborted the request; it may have run.
	ProcessEnded Reason = "process ended"
	// NotSentInTime means that the deadline passed, or the process stopped, while the request waited for an endpoint.
	NotSentInTime Reason = "not sent in time"
)

// Closing is how the end of a request without success is signaled on the caller's connection.
type Closing int

// The ways to signal the end of a request.
const (
	// Refuse sends an error response that this instance generates.
	Refuse Closing = iota
	// ForwardError forwards the endpoint's error response, which was read completely.
	ForwardError
	// Abort closes the connection, so that the part that was forwarded cannot be taken for a complete response.
	Abort
)

// Ending describes how a request ends without success.
type Ending struct {
	Closing Closing
	Reason  Reason
	// Status is the status code of the response; 0 if this instance generates no response.
	Status int
	// RetryAfter is the time after which the caller should retry; 0 if the response names no time.
	RetryAfter time.Duration
}

// The times after which refused callers should retry.
const (
	// noConfigurationRetryAfter applies while the instance has no configuration yet. A longer time reduces the load on the instances;
	// a shorter one serves sooner.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter applies while the instance stops: another instance can serve the request immediately. A longer time reduces
	// the load on the instances; a shorter one serves sooner.
	stoppingRetryAfter = 100 * time.Millisecond
	// originRetryAfter applies to streams that are taken up and of which it is not known where they began: an instance that knows it may be
	// reached again soon. A longer time reduces the load on the instances; a shorter one serves sooner.
	originRetryAfter = 250 * time.Millisecond
	// notRunRetryAfter applies to requests that no endpoint ran. A longer time reduces the load on the instances; a shorter one serves
	// sooner.
	notRunRetryAfter = 250 * time.Millisecond
)

// Refusals of requests for which no endpoint is chosen. They are answered and logged, but not counted. BodyTooLarge also ends
// requests whose body exceeds the limit after a part of it was forwarded.
var (
	// NoConfiguration means that this instance has no configuration yet.
	NoConfiguration = Ending{Status: http.StatusServiceUnavailable, Reason: "no configuration yet", RetryAfter: noConfigurationRetryAfter}
	// NoRoute means that no route matches the request's host and path.
	NoRoute = Ending{Status: http.StatusNotFound, Reason: "no such route"}
	// HeaderTooLarge means that the head of the request is larger than the settings allow.
	HeaderTooLarge = Ending{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
	// BodyTooLarge means that the body is larger than the settings allow.
	BodyTooLarge = Ending{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	// BodyTooSlow means that the body was not received completely before the request's deadline.
	BodyTooSlow = Ending{Status: http.StatusRequestTimeout, Reason: "body too slow"}
	// BodyUnreadable means that the body is malformed.
	BodyUnreadable = Ending{Status: http.StatusBadRequest, Reason: "body cannot be read"}
	// ProgramFault means that a panic ended the request; it may have run.
	ProgramFault = Ending{Status: http.StatusInternalServerError, Reason: "fault of the program"}
	// OriginUnknown means that a stream was to go on and it is not known where it began, so that no endpoint may continue it.
	OriginUnknown = Ending{Status: http.StatusServiceUnavailable, Reason: "beginning of the stream unknown", RetryAfter: originRetryAfter}
	// Stopping means that the process would end before it could complete the response.
	Stopping = Ending{Status: http.StatusServiceUnavailable, Reason: "stopping", RetryAfter: stoppingRetryAfter}
)

// BodyFailure is why a request's body could not be read, according to the error.
type BodyFailure struct {
	// TooLarge is set if the body is larger than the settings allow, TimedOut if the deadline passed, CallerLeft if the connection
	// was closed.
	TooLarge, TimedOut, CallerLeft bool
}

// EndBodyFailure decides how a request ends whose body could not be read, before an endpoint is chosen.
func EndBodyFailure(u BodyFailure) Ending {
	switch {
	case u.TooLarge:
		return BodyTooLarge
	case u.TimedOut:
		return BodyTooSlow
	case u.CallerLeft:
		return Ending{Closing: Abort, Reason: CallerLeft}
	default:
		return BodyUnreadable
	}
}

// End decides how a request ends after its last attempt. Unlike in EndWithoutEndpoint, a caller that disconnected takes precedence
// over a head that was forwarded.
func End(now time.Time, last Result, s Situation) Ending {
	switch {
	case last == ServerError:
		return Ending{Closing: ForwardError, Reason: EndpointError}
	case s.CallerLeft:
		return Ending{Closing: Abort, Reason: CallerLeft}
	case s.HeadForwarded && s.ProcessEnds:
		return Ending{Closing: Abort, Reason: ProcessEnded}
	case s.HeadForwarded:
		return Ending{Closing: Abort, Reason: StreamInterrupted}
	case s.BodyTooLarge:
		return BodyTooLarge
	case !s.MayHaveRun && s.OwnLimit:
		return Ending{Status: http.StatusServiceUnavailable, Reason: LimitOfInstance, RetryAfter: notRunRetryAfter}
	case !s.MayHaveRun:
		return Ending{Status: http.StatusServiceUnavailable, Reason: RefusedByEndpoint, RetryAfter: notRunRetryAfter}
	case last == RefusedWithoutProof:
		return Ending{Status: http.StatusBadGateway, Reason: UnprovenRefusal}
	case s.ProcessEnds:
		return Ending{Status: http.StatusBadGateway, Reason: ProcessEnded}
	case s.timedOut(now):
		return Ending{Status: http.StatusGatewayTimeout, Reason: TimedOut}
	case last == Recalled:
		return Ending{Status: http.StatusBadGateway, Reason: NotStartedInTime}
	default:
		return Ending{Status: http.StatusBadGateway, Reason: NoAnswer}
	}
}

// EndWithoutEndpoint decides how a request ends that no endpoint accepted. The refusal is the decision of package admission, or nil
// if the wait ended for another reason. Unlike in End, a head that was forwarded takes precedence over a caller that disconnected.
func EndWithoutEndpoint(s Situation, refusal *admission.Decision) Ending {
	switch {
	case s.HeadForwarded && s.ProcessEnds:
		return Ending{Closing: Abort, Reason: ProcessEnded}
	case s.HeadForwarded:
		return Ending{Closing: Abort, Reason: StreamNotResumed}
	case s.CallerLeft:
		return Ending{Closing: Abort, Reason: CallerLeft}
	case s.MayHaveRun:
		return Ending{Status: http.StatusBadGateway, Reason: NoEndpointForRetry}
	case refusal != nil:
		return Ending{Status: http.StatusServiceUnavailable, Reason: Reason(refusal.Reason), RetryAfter: refusal.RetryAfter}
	default:
		return Ending{Status: http.StatusServiceUnavailable, Reason: NotSentInTime, RetryAfter: notRunRetryAfter}
	}
}
