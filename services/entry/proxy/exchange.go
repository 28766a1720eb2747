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

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// exchange is one attempt at one endpoint.
type exchange struct {
	placement

	run *run
	// from is what the caller had of its answer when the exchange began, and started when that was.
	from    position
	started time.Time
	answer  *upstream.Answer
	// handling is what to do with the answer after its head.
	handling attempt.Handling
	// context ends with the exchange; cancel ends it, with who did.
	context context.Context
	cancel  context.CancelCauseFunc
	// heard is when the endpoint last sent something, at first when the exchange began.
	heard time.Time
	// ended and silent are who ended an exchange without a whole answer, and how long the endpoint had sent nothing then; empty before.
	ended  attempt.Ender
	silent time.Duration
	// endpointGone is set where the endpoint ended the exchange and refuses connections since: its process has ended.
	endpointGone bool
	// held is a whole body that was read before anything was passed on.
	held []byte
	// status is the endpoint's own; 0 for none.
	status int
	// notice is what the endpoint said of itself in the head of its answer.
	notice deployment.Notice
	// running is set once the answer shows that the endpoint runs the request.
	running bool
	// ranAfter is how long it took from the choice of the endpoint until then.
	ranAfter time.Duration
}

// newExchange makes an exchange that has not begun.
func (r *run) newExchange(at placement, from position) *exchange {
	now := r.service.options.Now()
	e := &exchange{run: r, placement: at, from: from, started: now, heard: now}
	e.context, e.cancel = context.WithCancelCause(r.context)
	return e
}

// do sends the request, unless its answer has begun, and passes the answer on. While the endpoint is silent, another one is looked for.
func (e *exchange) do() attempt.Result {
	search := newSuccessorSearch(e)
	verdict := e.send(search)
	search.end(verdict.Result != attempt.Finished && verdict != attempt.NotTaken())
	e.run.records = append(e.run.records, e.close(verdict))
	e.run.adopt(search)
	return verdict.Result
}

// send sends the request, unless its answer has begun, and passes the answer on.
func (e *exchange) send(search *successorSearch) attempt.Verdict {
	if e.answer == nil {
		if verdict, begun := e.open(); !begun {
			return verdict
		}
	}
	// Beside an endpoint that failed, another one that was sent the request may still answer.
	if !attempt.IsServerError(e.status) && !search.pause() {
		defer e.discard()
		return attempt.JudgeBroken(e.situation())
	}
	switch e.handling {
	case attempt.ResumeStream:
		return e.passStream(false, search)
	case attempt.PassStream:
		return e.passStream(true, search)
	default:
		if e.status < http.StatusMultipleChoices {
			// An error may have been made before the request's turn came.
			e.noteRunning()
		}
		return e.passWhole()
	}
}

// open sends the request and waits for the head of an answer that can be passed on; false with the verdict where none comes.
func (e *exchange) open() (verdict attempt.Verdict, begun bool) {
	r := e.run
	e.assignment.Recall.Arm(e.ender(attempt.ByTakeBack))
	answer, err := r.service.upstream.Do(e.context, upstream.Call{
		Target:  e.target(),
		Request: r.forward(e.assignment, r.service.options.Now(), e.from.lastEvent, e.ender(attempt.ByBody)),
		AnswersRequest: func(header http.Header) bool {
			return r.service.dialect.AnswersRequest(r.caller.ID, header)
		},
	})
	if err != nil {
		defer e.discard()
		return attempt.JudgeFailure(failure(err), e.situationAt(e.from)), false
	}
	e.answer = answer
	return e.judgeHead()
}

// target gives where the exchange goes.
func (e *exchange) target() upstream.Target {
	endpoint := e.assignment.Endpoint
	return upstream.Target{Key: string(endpoint.ID), Address: endpoint.Address, MaxConnections: e.assignment.MaxConnections}
}

// situation gives what decisions need to know of the request and of this exchange.
func (e *exchange) situation() attempt.Situation {
	return e.situationAt(e.run.position())
}

// situationAt gives the same where the caller has its answer up to a position.
func (e *exchange) situationAt(at position) attempt.Situation {
	s := e.run.situationAt(at)
	s.TakenBack = e.assignment.Recall.Fired()
	s.Silent = e.run.service.options.Now().Sub(e.heard)
	return s
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

// judgeHead judges the head of an answer; false with the verdict where nothing of it can be passed on.
func (e *exchange) judgeHead() (verdict attempt.Verdict, begun bool) {
	response := e.answer.Response
	dialect := e.run.service.dialect
	e.status = response.StatusCode
	e.heard = e.run.service.options.Now()
	e.readNotice(response)
	e.handling, verdict = attempt.JudgeHead(attempt.Head{
		Status: e.status, NotRun: dialect.NotRun(e.status, response.Header), FromEndpoint: dialect.FromEndpoint(response.Header),
		Resumes: e.from.headPassed, Kind: e.run.request.Route.Kind,
	})
	if e.handling != attempt.Reject {
		return attempt.Verdict{}, true
	}
	if verdict.Result == attempt.NotRun {
		e.readRest()
	}
	e.discard()
	return verdict, false
}

// readNotice reads what the endpoint says of itself. Every answer passes here: whole ones, streams, errors, refusals, resumptions and those
// of a successor.
func (e *exchange) readNotice(response *http.Response) {
	notice, err := e.run.service.dialect.ReadNotice(e.status, response.Header)
	if err != nil {
		e.run.service.options.Log.WithError(err).WithField("endpoint", e.assignment.Endpoint.ID).Warn("what an endpoint says of itself cannot be read")
	}
	e.notice = notice
	e.run.service.control.Heard(e.assignment, e.started, notice)
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

// readRest reads a small refusal to its end, so that its connection can be used again.
func (e *exchange) readRest() {
	// Where that fails, the connection is closed with the exchange, and nothing else is lost.
	_, _ = io.CopyN(io.Discard, e.answer, smallBody)
}
