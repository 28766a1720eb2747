// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// exchange is one attempt to get a response to a request from one endpoint.
type exchange struct {
	placement

	inflight *inflight
	// startPosition is the part of the response that the caller had when the exchange was created; started is when that was.
	startPosition position
	started       time.Time
	response      *upstream.Answer
	// handling is how the response is processed after its head.
	handling attempt.Handling
	// context is the context of the exchange; cancel cancels it with the cause of the end.
	context context.Context
	cancel  context.CancelCauseFunc
	// lastReceived is when the endpoint last sent data; initially when the exchange was created.
	lastReceived time.Time
	// endCause is what ended an exchange without a complete response, and silentFor for how long the endpoint had sent nothing at
	// that time; both are zero before.
	endCause  attempt.EndCause
	silentFor time.Duration
	// failure is how an exchange without a head failed.
	failure attempt.Failure
	// endpointGone is set if the endpoint ended the exchange and has refused connections since then: its process has ended.
	endpointGone bool
	// buffered is a complete response body that was read before any part of it was forwarded.
	buffered []byte
	// status is the status code of the endpoint's response; 0 if there is none.
	status int
	// untilClose is set if the endpoint's response ends with its connection; via is the address of the instance through which the
	// response came, not valid for an own link.
	untilClose bool
	via        netip.AddrPort
	// notice is the notice in the head of the endpoint's response.
	notice deployment.Notice
	// running is set when the response shows that the endpoint has started to run the request.
	running bool
	// timeToRun is the time from the choice of the endpoint until the request was seen to run.
	timeToRun time.Duration
}

// newExchange returns an exchange for a placement; nothing is sent yet.
func (r *inflight) newExchange(placed placement, startPosition position) *exchange {
	now := r.service.options.Now()
	e := &exchange{inflight: r, placement: placed, startPosition: startPosition, started: now, lastReceived: now}
	e.context, e.cancel = context.WithCancelCause(r.context)
	return e
}

// do sends the request, unless the response has already started, and forwards the response. While the endpoint is silent, the request
// may be hedged: sent to another endpoint as well.
func (e *exchange) do() attempt.Result {
	hedging := newHedge(e)
	verdict := e.sendAndForward(hedging)
	hedging.closeAndWait(verdict.Result != attempt.Finished && verdict != attempt.Undelivered())
	e.inflight.records = append(e.inflight.records, e.close(verdict))
	e.inflight.adoptSuccessor(hedging)
	return verdict.Result
}

// sendAndForward sends the request, unless the response has already started, and forwards the response.
func (e *exchange) sendAndForward(hedging *hedge) attempt.Verdict {
	if e.response == nil {
		if verdict, begun := e.requestHead(); !begun {
			return verdict
		}
	}
	// If the endpoint failed, the other endpoint of a hedged request may still respond.
	if !attempt.IsFailure(e.status) && !hedging.pause() {
		defer e.discard()
		return attempt.JudgeInterrupted(e.situation())
	}
	switch e.handling {
	case attempt.ResumeStream:
		return e.forwardStream(false, hedging)
	case attempt.ForwardStream:
		return e.forwardStream(true, hedging)
	default:
		if e.status < http.StatusMultipleChoices {
			// An error response may have been produced before the endpoint started to run the request.
			e.reportRunning()
		}
		return e.forwardWhole(hedging)
	}
}

// requestHead sends the request and waits for the head of a response that can be forwarded. If there is none, begun is false and the
// verdict applies.
func (e *exchange) requestHead() (verdict attempt.Verdict, begun bool) {
	r := e.inflight
	e.assignment.Recall.Arm(e.cancelFunc(attempt.EndedByRecall))
	e.expectOrigin()
	response, err := r.service.upstream.Do(e.context, upstream.Call{
		Target:  e.target(),
		Request: r.newOutgoingRequest(e.assignment, r.service.options.Now(), e.startPosition.lastEvent, e.cancelFunc(attempt.EndedByBodyLimit)),
		AnswersRequest: func(header http.Header) bool {
			return r.service.dialect.AnswersRequest(r.caller.ID, header)
		},
		Identified: r.service.dialect.Identified,
	})
	if err != nil {
		defer e.discard()
		e.failure = failureOf(err)
		return attempt.JudgeFailure(e.failure, e.situationAt(e.startPosition)), false
	}
	e.response = response
	return e.judgeHead()
}

// target returns the endpoint's address and connection limits for package upstream.
func (e *exchange) target() upstream.Target {
	endpoint := e.assignment.Endpoint
	return upstream.Target{
		Key: string(endpoint.ID), Address: endpoint.Address, MaxConnections: e.assignment.MaxConnections, MaxKept: e.assignment.MaxKept,
	}
}

// situation returns the input for the decisions of package attempt on the request and this exchange.
func (e *exchange) situation() attempt.Situation {
	return e.situationAt(e.inflight.position())
}

// situationAt returns the situation for a caller that has received the response up to a position.
func (e *exchange) situationAt(received position) attempt.Situation {
	s := e.inflight.situationAt(received)
	s.LinkBroken = e.inflight.service.options.LinkBroken(e.assignment.Endpoint.ID)
	s.Recalled = e.assignment.Recall.Fired()
	s.Silent = e.inflight.service.options.Now().Sub(e.lastReceived)
	return s
}

// failureOf converts an error of package upstream to an attempt.Failure.
func failureOf(err error) attempt.Failure {
	switch {
	case errors.Is(err, upstream.ErrNoConnection):
		return attempt.NoConnectionFree
	case upstream.NotSent(err) && isDescriptorShortage(err):
		return attempt.NoDescriptorFree
	case upstream.NotSent(err) && errors.Is(err, syscall.ECONNREFUSED):
		return attempt.ConnectionRefused
	case upstream.NotSent(err):
		return attempt.NothingWritten
	case errors.Is(err, bounded.ErrTooLong):
		return attempt.AnswerTooLong
	case errors.Is(err, bounded.ErrTooSlow):
		return attempt.AnswerTooSlow
	default:
		return attempt.NoHead
	}
}

// isDescriptorShortage reports whether a system call failed because this process, or its host, has no free descriptor.
func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// judgeHead evaluates the head of a response. If no part of the response can be forwarded, begun is false and the verdict applies.
func (e *exchange) judgeHead() (verdict attempt.Verdict, begun bool) {
	httpResponse := e.response.Response
	dialect := e.inflight.service.dialect
	e.status = httpResponse.StatusCode
	e.untilClose, e.via = e.response.Framing() == upstream.ByClose, e.response.Peer()
	e.lastReceived = e.inflight.service.options.Now()
	e.readNotice(httpResponse)
	e.handling, verdict = attempt.JudgeHead(attempt.Head{
		Status: e.status, NotRun: e.provesNotRun(httpResponse), FromEndpoint: dialect.FromEndpoint(httpResponse.Header),
		Resumes: e.startPosition.headForwarded, Kind: e.inflight.request.Route.Kind, Retryable: e.inflight.request.Route.Retryable(),
	})
	if e.handling != attempt.Reject {
		return attempt.Verdict{}, true
	}
	if verdict.Result == attempt.NotRun || verdict.Result == attempt.RefusedWithoutProof {
		e.drainRefusal()
	}
	e.discard()
	return verdict, false
}

// provesNotRun reports whether a response proves that the request did not run and will not run.
func (e *exchange) provesNotRun(response *http.Response) bool {
	return e.inflight.service.dialect.NotRun(e.assignment.Endpoint.ID, response.StatusCode, response.Header)
}

// readNotice reads the endpoint's notice. It is called for every response: complete responses, streams, errors, refusals, resumed
// streams and the responses of a successor.
func (e *exchange) readNotice(response *http.Response) {
	notice, err := e.inflight.service.dialect.ReadNotice(e.status, response.Header)
	if err != nil {
		e.inflight.service.options.Log.WithError(err).WithField("endpoint", e.assignment.Endpoint.ID).Warn("an endpoint's header for its limit, rest or draining cannot be decoded and is ignored")
	}
	notice.Rejected = e.status == http.StatusServiceUnavailable && notice.Rest == 0 && e.provesNotRun(response)
	e.notice = notice
	e.inflight.service.control.ApplyNotice(e.assignment, e.started, notice)
}

// reportRunning reports to the coordinator, once, that the request has left the endpoint's own queue. It returns false if the request
// was already recalled: the exchange has ended then, and the response must not be forwarded.
func (e *exchange) reportRunning() bool {
	if !e.assignment.Recall.Disarm() {
		return false
	}
	if e.running || !e.inflight.request.UsesModel() {
		return true
	}
	e.running = true
	e.timeToRun = e.inflight.service.options.Now().Sub(e.assignment.Assigned)
	e.inflight.service.control.MarkRunning(e.request, e.assignment)
	return true
}

// startRatio returns the time until the request ran divided by the expected time; 0 if the request did not run or no time was
// expected.
func (e *exchange) startRatio() float64 {
	if e.assignment.Expected <= 0 {
		return 0
	}
	return float64(e.timeToRun) / float64(e.assignment.Expected)
}

const (
	// maxDrainedRefusal is up to how many bytes a refusal is read, drainTimeout for how long. Higher values let more connections be used again,
	// lower ones let the next try begin sooner.
	maxDrainedRefusal = 64 << 10
	drainTimeout      = 100 * time.Millisecond
)

// drainRefusal reads a small refusal to its end, so that its connection can be reused.
func (e *exchange) drainRefusal() {
	// If reading fails, the connection is closed with the exchange; nothing else is lost.
	_ = e.response.Drain(maxDrainedRefusal, drainTimeout)
}
