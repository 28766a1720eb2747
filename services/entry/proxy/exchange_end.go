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

// endedError is the cause with which the context of an exchange ends that this instance ends.
type endedError struct {
	by attempt.Ender
}

// Error implements error.
func (e *endedError) Error() string {
	return "proxy: the exchange was ended by: " + string(e.by)
}

// ender gives what ends the exchange, and who does it then.
func (e *exchange) ender(by attempt.Ender) func() {
	cancel := e.cancel
	return func() { cancel(&endedError{by: by}) }
}

// noteEnd keeps who ended the exchange, and for how long the endpoint had sent nothing; only the first call counts.
func (e *exchange) noteEnd() {
	if e.ended != "" {
		return
	}
	now := e.run.service.options.Now()
	e.ended, e.silent = e.endedBy(now), now.Sub(e.heard)
}

// endOf gives how the exchange ended, nil where it brought a whole answer.
func (e *exchange) endOf(result attempt.Result) *AttemptEnd {
	if attempt.BringsAnswer(result) {
		return nil
	}
	return &AttemptEnd{By: e.ended, SilentMS: e.silent.Milliseconds(), EndpointGone: e.endpointGone}
}

// endedBy tells who ended the exchange. The connection's own deadline is the request's, and may end it before the context does.
func (e *exchange) endedBy(now time.Time) attempt.Ender {
	cause := context.Cause(e.context)
	var ended *endedError
	switch {
	case errors.As(cause, &ended):
		return ended.by
	case errors.Is(cause, ErrProcessEnds):
		return attempt.ByProcess
	case !now.Before(e.run.request.Deadline):
		return attempt.ByDeadline
	case cause != nil:
		return attempt.ByCaller
	default:
		return attempt.ByEndpoint
	}
}

// close reports to the coordinator how the exchange ended, and gives its record.
func (e *exchange) close(verdict attempt.Verdict) AttemptRecord {
	e.noteEnd()
	e.assignment.Recall.Disarm()
	verdict = e.noteCrash(verdict)
	e.run.service.control.Finish(e.request, e.assignment, verdict.Outcome, verdict.Missing)
	return AttemptRecord{
		Endpoint: e.assignment.Endpoint.ID, WaitedMS: e.assignment.Waited.Milliseconds(), Result: verdict.Result, StartRatio: e.startRatio(),
		TookMS: e.run.service.options.Now().Sub(e.started).Milliseconds(), Status: e.status,
		ExpectedMS: e.assignment.Expected.Milliseconds(), RanAfterMS: e.ranAfter.Milliseconds(),
		VersionDemanded: e.assignment.Version, VersionHeld: e.assignment.HeldVersion, Ended: e.endOf(verdict.Result),
		FormerLeftMS: e.assignment.Former.Remaining.Milliseconds(), FormerExpectedMS: e.assignment.Former.Expected.Milliseconds(),
		LimitPerSecond: e.notice.Limit, Leaving: e.notice.Leaving, RestMS: e.notice.Rest.Milliseconds(),
	}
}

// noteCrash looks whether the endpoint has ended under the request, which then counts against the request as well: the next endpoint that
// gets it may end, too. A whole answer speaks for the request.
func (e *exchange) noteCrash(verdict attempt.Verdict) attempt.Verdict {
	control := e.run.service.control
	switch {
	case attempt.MayHaveRun(verdict.Result):
		return e.noteUnanswered(verdict)
	case verdict.Result == attempt.Finished && e.status < http.StatusMultipleChoices:
		control.Answered(e.request)
	}
	return verdict
}

// noteUnanswered tells an endpoint that has ended from one that goes on, and may go on with the request.
func (e *exchange) noteUnanswered(verdict attempt.Verdict) attempt.Verdict {
	control := e.run.service.control
	if e.ended == attempt.ByEndpoint {
		e.endpointGone = e.run.service.upstream.Refuses(e.run.context, e.target())
	}
	if !e.endpointGone {
		control.Unanswered(e.request, e.assignment)
		return verdict
	}
	control.Crashed(e.request, e.assignment)
	if verdict.Outcome == directory.Broken {
		verdict.Outcome = directory.Ended
	}
	return verdict
}

// discard ends the exchange.
func (e *exchange) discard() {
	if e.answer != nil {
		e.noteEnd()
		e.answer.Close()
		e.answer = nil
	}
	if e.cancel != nil {
		e.noteEnd()
		e.cancel(nil)
		e.cancel = nil
	}
}
