// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// canceledError is the cancellation cause of the context of an exchange that this instance ends.
type canceledError struct {
	by attempt.EndCause
}

// Error implements error.
func (e *canceledError) Error() string {
	return "proxy: exchange canceled, cause: " + string(e.by)
}

// cancelFunc returns a function that cancels the exchange with a cause.
func (e *exchange) cancelFunc(by attempt.EndCause) func() {
	cancel := e.cancel
	return func() { cancel(&canceledError{by: by}) }
}

// recordEnd records what ended the exchange, and for how long the endpoint had sent nothing by then. Only the first call has an
// effect.
func (e *exchange) recordEnd() {
	if e.endCause != "" {
		return
	}
	now := e.inflight.service.options.Now()
	e.endCause, e.silentFor = e.determineEndCause(now), now.Sub(e.lastReceived)
}

// attemptEnd returns how the exchange ended, or nil if it got a complete response.
func (e *exchange) attemptEnd(result attempt.Result) *AttemptEnd {
	if attempt.HasCompleteResponse(result) {
		return nil
	}
	return &AttemptEnd{Cause: e.endCause, SilentMS: e.silentFor.Milliseconds(), EndpointGone: e.endpointGone}
}

// determineEndCause returns what ended the exchange. The connection's own deadline is that of the request, and may end the exchange
// before the context is canceled.
func (e *exchange) determineEndCause(now time.Time) attempt.EndCause {
	cause := context.Cause(e.context)
	var ended *canceledError
	switch {
	case errors.As(cause, &ended):
		return ended.by
	case e.failure.EndCause() != "":
		return e.failure.EndCause()
	case errors.Is(cause, ErrProcessEnds):
		return attempt.EndedByShutdown
	case !now.Before(e.inflight.request.Deadline):
		return attempt.EndedByDeadline
	case cause != nil:
		return attempt.EndedByCaller
	default:
		return attempt.EndedByEndpoint
	}
}

// close reports to the coordinator how the exchange ended, and returns its record.
func (e *exchange) close(verdict attempt.Verdict) AttemptRecord {
	e.recordEnd()
	e.assignment.Recall.Disarm()
	verdict = e.reportResult(verdict)
	e.inflight.service.control.Finish(e.request, e.assignment, verdict.Outcome, verdict.Missing)
	return AttemptRecord{
		Endpoint: e.assignment.Endpoint.ID, WaitedMS: e.assignment.Waited.Milliseconds(), Result: verdict.Result, StartRatio: e.startRatio(),
		TookMS: e.inflight.service.options.Now().Sub(e.started).Milliseconds(), Status: e.status,
		ExpectedMS: e.assignment.Expected.Milliseconds(), RanAfterMS: e.timeToRun.Milliseconds(),
		VersionDemanded: e.assignment.Version, VersionHeld: e.assignment.HeldVersion, Ended: e.attemptEnd(verdict.Result),
		FormerLeftMS: e.assignment.FormerVersion.Remaining.Milliseconds(), FormerExpectedMS: e.assignment.FormerVersion.Expected.Milliseconds(),
		UntilClose: e.untilClose, Via: e.via, Software: e.request.Software,
		LimitPerSecond: e.notice.Limit, Draining: e.notice.Draining, RestMS: e.notice.Rest.Milliseconds(),
	}
}

// reportResult reports a complete response, or the lack of one, to the coordinator. An endpoint process that ended while it had the
// request counts as a crash caused by the request, because the next endpoint that gets the request may end, too. A complete
// response shows that the request was not the cause.
func (e *exchange) reportResult(verdict attempt.Verdict) attempt.Verdict {
	control := e.inflight.service.control
	switch {
	case attempt.MayHaveRun(verdict.Result):
		return e.reportUnanswered(verdict)
	case verdict.Result == attempt.Finished && e.status < http.StatusMultipleChoices:
		control.RecordAnswered(e.request)
	}
	return verdict
}

// reportUnanswered reports a request without a complete response, and distinguishes an endpoint whose process has ended from one that
// continues, possibly with the request.
func (e *exchange) reportUnanswered(verdict attempt.Verdict) attempt.Verdict {
	control := e.inflight.service.control
	if e.endCause == attempt.EndedByEndpoint {
		e.endpointGone = e.inflight.service.upstream.Refuses(e.inflight.context, e.target())
	}
	if !e.endpointGone {
		control.RecordUnanswered(e.request, e.assignment)
		if verdict.Outcome == directory.Broken && e.inflight.service.options.LinkBroken(e.assignment.Endpoint.ID) {
			// The check found that only the link has failed.
			verdict.Outcome = directory.Neutral
		}
		return verdict
	}
	control.RecordCrash(e.request, e.assignment)
	verdict.Outcome = directory.Ended
	return verdict
}

// discard closes the response and cancels the exchange.
func (e *exchange) discard() {
	if e.response != nil {
		e.recordEnd()
		e.response.Close()
		e.response = nil
	}
	if e.cancel != nil {
		e.recordEnd()
		e.cancel(nil)
		e.cancel = nil
	}
}
