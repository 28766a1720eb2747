// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// exchange is one attempt at one endpoint.
type exchange struct {
	placement

	run    *run
	answer *upstream.Answer
	// context ends with the exchange; cancel ends it, with who did.
	context context.Context
	cancel  context.CancelCauseFunc
	// heard is when the endpoint last sent something, at first when the exchange began.
	heard time.Time
	// ended and silent are who ended an exchange without a whole answer, and how long the endpoint had sent nothing then; empty before.
	ended  attempt.Ender
	silent time.Duration
	// held is a whole body that was read before anything was passed on.
	held []byte
	// status is the endpoint's own; 0 for none.
	status int
	// running is set once the answer shows that the endpoint runs the request.
	running bool
	// ranAfter is how long it took from the choice of the endpoint until then.
	ranAfter time.Duration
}

// do sends the request, passes the answer on and reports to the coordinator how it ended.
func (e *exchange) do() attempt.Result {
	started := e.run.service.options.Now()
	e.heard = started
	verdict := e.send()
	e.noteEnd()
	e.assignment.Recall.Disarm()
	e.run.records = append(e.run.records, AttemptRecord{
		Endpoint: e.assignment.Endpoint.ID, WaitedMS: e.assignment.Waited.Milliseconds(), Result: verdict.Result, StartRatio: e.startRatio(),
		TookMS: e.run.service.options.Now().Sub(started).Milliseconds(), Status: e.status,
		ExpectedMS: e.assignment.Expected.Milliseconds(), RanAfterMS: e.ranAfter.Milliseconds(),
		VersionDemanded: e.assignment.Version, VersionHeld: e.assignment.Held,
		Ended:        e.endOf(verdict.Result),
		FormerLeftMS: e.assignment.Former.Left.Milliseconds(), FormerExpectedMS: e.assignment.Former.Expected.Milliseconds(),
	})
	e.run.service.control.Finish(e.request, e.assignment, verdict.Outcome, verdict.Missing)
	return verdict.Result
}

// send sends the request and passes the answer on.
func (e *exchange) send() attempt.Verdict {
	r := e.run
	e.context, e.cancel = context.WithCancelCause(r.context)
	e.assignment.Recall.Arm(e.ender(attempt.ByTakeBack))
	headTimer := e.startHeadTimer(e.ender(attempt.BySilence))
	answer, err := r.service.upstream.Do(e.context, upstream.Call{
		Target: upstream.Target{
			Key: string(e.assignment.Endpoint.ID), Address: e.assignment.Endpoint.Address, MaxConnections: e.assignment.MaxConnections,
		},
		Request: r.forward(e.assignment, r.service.options.Now(), e.ender(attempt.ByBody)),
		AnswersRequest: func(header http.Header) bool {
			return r.service.dialect.AnswersRequest(r.caller.ID, header)
		},
	})
	if headTimer != nil {
		headTimer.Stop()
	}
	if err != nil {
		defer e.discard()
		return attempt.JudgeFailure(failure(err), e.situation())
	}
	e.answer = answer
	return e.pass()
}

// situation gives what decisions need to know of the request and of this exchange.
func (e *exchange) situation() attempt.Situation {
	s := e.run.situation()
	s.Silent = e.run.service.options.Now().Sub(e.heard)
	return s
}

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
	return &AttemptEnd{By: e.ended, SilentMS: e.silent.Milliseconds()}
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

// failure translates an error of package upstream.
func failure(err error) attempt.Failure {
	switch {
	case errors.Is(err, upstream.ErrNoConnection):
		return attempt.NoConnectionFree
	case upstream.NotSent(err) && errors.Is(err, syscall.ECONNREFUSED):
		return attempt.ConnectionRefused
	case upstream.NotSent(err):
		return attempt.NothingWritten
	default:
		return attempt.NoHead
	}
}

// pass judges the head of an answer and passes it on.
func (e *exchange) pass() attempt.Verdict {
	response := e.answer.Response
	dialect := e.run.service.dialect
	e.status = response.StatusCode
	handling, verdict := attempt.JudgeHead(attempt.Head{
		Status: e.status, NotRun: dialect.NotRun(e.status, response.Header), FromEndpoint: dialect.FromEndpoint(response.Header),
		Resumes: e.run.answer.status != 0, Kind: e.run.request.Route.Kind,
	})
	switch handling {
	case attempt.ResumeStream:
		return e.passStream(false)
	case attempt.PassStream:
		return e.passStream(true)
	case attempt.PassWhole:
		if e.status < http.StatusMultipleChoices {
			// An error may have been made before the request's turn came.
			e.noteRunning()
		}
		return e.passWhole()
	}
	if verdict.Result == attempt.NotRun {
		e.readRest()
	}
	e.discard()
	return verdict
}

// noteRunning tells the coordinator once that the request has left the endpoint's own queue. It is false for a request that was taken
// back before: its exchange has ended, and what came of the answer must not be passed on as its beginning.
func (e *exchange) noteRunning() bool {
	if !e.assignment.Recall.Disarm() {
		return false
	}
	if e.running || !e.run.request.UsesModel() {
		return true
	}
	e.running = true
	e.ranAfter = e.run.service.options.Now().Sub(e.assignment.Assigned)
	e.run.service.control.Running(e.request, e.assignment)
	return true
}

// startRatio is how long it took until the request ran, over what was expected; 0 if it did not run or nothing was expected.
func (e *exchange) startRatio() float64 {
	if e.assignment.Expected <= 0 {
		return 0
	}
	return float64(e.ranAfter) / float64(e.assignment.Expected)
}

// startHeadTimer starts the timer that gives the endpoint up when the head of the answer takes too long; nil for none.
func (e *exchange) startHeadTimer(giveUp func()) *time.Timer {
	timeout, bounded := attempt.HeadTimeout(e.run.service.options.Now(), e.run.situation())
	if !bounded {
		return nil
	}
	return time.AfterFunc(timeout, giveUp)
}

// readRest reads a small refusal to its end, so that its connection can be used again.
func (e *exchange) readRest() {
	// Where that fails, the connection is closed with the exchange, and nothing else is lost.
	_, _ = io.CopyN(io.Discard, e.answer, smallBody)
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
