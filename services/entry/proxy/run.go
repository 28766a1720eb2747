// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// run is one request on its way through the entry.
type run struct {
	service  *Service
	answer   *answerWriter
	incoming *http.Request
	request  *deployment.Request
	facts    Facts
	body     requestBody
	context  context.Context
	tried    []deployment.EndpointID
	attempts int
	dials    int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// lastEvent is the last whole event passed on.
	lastEvent string
	reason    string
	records   []AttemptRecord
}

// verdict is what follows from one attempt.
type verdict int

const (
	// finished: the caller has its answer.
	finished verdict = iota
	// notSent: nothing arrived at the endpoint.
	notSent
	// notRun: the endpoint proved that the request did not run.
	notRun
	// uncertain: the request may have run, and nothing was answered yet.
	uncertain
	// serverError: the endpoint answered with an error that may be worth a repeat.
	serverError
	// brokenOff: the answer broke off after its head was passed on.
	brokenOff
)

// String names the verdict in logs.
func (v verdict) String() string {
	return [...]string{"finished", "not sent", "not run", "uncertain", "server error", "broken off"}[v]
}

// maxDials is how many endpoints are tried that cannot be connected to.
const maxDials = 3

func (r *run) serve() {
	for {
		assignment, err := r.service.control.Acquire(r.context, r.request, r.tried)
		if err != nil {
			r.endWithoutEndpoint(err)
			return
		}
		r.attempts++
		attempt := &attempt{run: r, assignment: assignment}
		result := attempt.do()
		switch result {
		case finished:
			return
		case notSent:
			r.attempts--
			r.dials++
			if r.dials < maxDials && r.context.Err() == nil {
				r.tried = append(r.tried, assignment.Endpoint.ID)
				continue
			}
			r.end(result, attempt)
			return
		case uncertain, serverError, brokenOff:
			r.mayHaveRun = true
		}
		if !r.mayRepeat(result) {
			r.end(result, attempt)
			return
		}
		attempt.discard()
		r.tried = append(r.tried, assignment.Endpoint.ID)
	}
}

// mayRepeat tells whether another endpoint may be sent the request.
func (r *run) mayRepeat(result verdict) bool {
	if r.timedOut() || r.attempts >= r.request.Route.MaxAttempts || r.body.rest != nil {
		return false
	}
	if r.mayHaveRun && !r.request.Route.Repeatable() {
		return false
	}
	if result == brokenOff && r.lastEvent == "" {
		return false
	}
	return r.service.control.TakeRepeat(r.request.Service)
}

// endWithoutEndpoint answers a request that no endpoint takes.
func (r *run) endWithoutEndpoint(err error) {
	var refusal *coordinator.Refusal
	switch {
	case r.answer.status != 0:
		r.reason = "stream not resumed"
		panic(http.ErrAbortHandler)
	case r.incoming.Context().Err() != nil:
		r.reason = "caller left"
		panic(http.ErrAbortHandler)
	case r.mayHaveRun:
		r.reason = "no endpoint for a repeat"
		r.answer.refuse(http.StatusBadGateway, r.reason, 0)
	case errors.As(err, &refusal):
		r.reason = string(refusal.Reason)
		r.answer.refuse(http.StatusServiceUnavailable, r.reason, refusal.RetryAfter)
	default:
		r.reason = "not sent in time"
		r.answer.refuse(http.StatusServiceUnavailable, r.reason, busyPause)
	}
}

// end answers a request after its last attempt.
func (r *run) end(result verdict, last *attempt) {
	if result == serverError {
		last.passError()
		return
	}
	if r.incoming.Context().Err() != nil {
		r.reason = "caller left"
		panic(http.ErrAbortHandler)
	}
	if r.answer.status != 0 {
		r.reason = "stream broke off"
		panic(http.ErrAbortHandler)
	}
	if !r.mayHaveRun {
		r.reason = "refused by the endpoint"
		r.answer.refuse(http.StatusServiceUnavailable, r.reason, busyPause)
		return
	}
	if r.timedOut() {
		r.reason = "timed out"
		r.answer.refuse(http.StatusGatewayTimeout, r.reason, 0)
		return
	}
	r.reason = "no answer from the endpoint"
	r.answer.refuse(http.StatusBadGateway, r.reason, 0)
}

// timedOut tells whether the request's time is over. The connection's own deadline is the same and may end
// the exchange a moment before the context says so.
func (r *run) timedOut() bool {
	return r.context.Err() != nil || !r.service.options.Now().Before(r.request.Deadline)
}

// forward builds the request that goes to an endpoint.
func (r *run) forward(assignment coordinator.Assignment, now time.Time) *http.Request {
	header := make(http.Header, len(r.incoming.Header)+4)
	copyHeader(header, r.incoming.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	r.service.dialect.WriteForward(header, Forward{
		Endpoint: assignment.Endpoint.ID, HasDeadline: r.facts.Patience > 0, Remaining: r.remaining(now),
		UsesModel: r.request.UsesModel(), Priority: r.request.Route.Priority, Version: assignment.Version, ResumeAfter: r.lastEvent,
	})
	outgoing := &http.Request{
		Method: r.incoming.Method, URL: requestURL(r.incoming), Host: r.incoming.Host, Header: header, ContentLength: r.body.length,
	}
	switch {
	case r.body.rest != nil:
		outgoing.Body = io.NopCloser(io.MultiReader(bytes.NewReader(r.body.held), r.body.rest))
	case len(r.body.held) > 0:
		outgoing.Body = io.NopCloser(bytes.NewReader(r.body.held))
	}
	return outgoing
}

// remaining is how much longer the caller waits, by its own word.
func (r *run) remaining(now time.Time) time.Duration {
	return r.request.Arrived.Add(r.facts.Patience).Sub(now)
}

// requestURL keeps path and query as the caller wrote them.
func requestURL(incoming *http.Request) *url.URL {
	if strings.HasPrefix(incoming.RequestURI, "/") && !strings.HasPrefix(incoming.RequestURI, "//") {
		return &url.URL{Opaque: incoming.RequestURI, Host: incoming.Host, Scheme: "http"}
	}
	return incoming.URL
}

// attempt is one exchange with one endpoint.
type attempt struct {
	run        *run
	assignment coordinator.Assignment
	answer     *upstream.Answer
	cancel     context.CancelFunc
	// held is a whole body that was read before anything was passed on.
	held []byte
	// status is the endpoint's own; 0 for none.
	status int
}

func (a *attempt) do() verdict {
	started := a.run.service.options.Now()
	outcome, missing, result := a.exchange()
	a.run.records = append(a.run.records, AttemptRecord{
		Endpoint: a.assignment.Endpoint.ID, WaitedMS: a.assignment.Waited.Milliseconds(), Result: result.String(),
		TookMS: a.run.service.options.Now().Sub(started).Milliseconds(), Status: a.status,
	})
	a.run.service.control.Finish(a.run.request, a.assignment, outcome, missing)
	return result
}

// exchange sends the request and passes the answer on.
func (a *attempt) exchange() (directory.Outcome, bool, verdict) {
	r := a.run
	ctx, cancel := context.WithCancel(r.context)
	a.cancel = cancel
	headTimer := a.startHeadTimer(cancel)
	answer, err := r.service.upstream.Do(ctx, upstream.Call{
		Target: upstream.Target{
			Key: string(a.assignment.Endpoint.ID), Address: a.assignment.Endpoint.Address, MaxConnections: a.assignment.MaxConnections,
		},
		Request: r.forward(a.assignment, r.service.options.Now()),
		Belongs: func(header http.Header) bool { return r.service.dialect.Belongs(r.facts.ID, header) },
	})
	headTimer.Stop()
	if err != nil {
		cancel()
		return a.failed(err)
	}
	a.answer = answer
	return a.answered()
}

// failed judges an exchange that ended without an answer.
func (a *attempt) failed(err error) (directory.Outcome, bool, verdict) {
	switch {
	case errors.Is(err, upstream.ErrNoConnection):
		return directory.Neutral, false, notSent
	case upstream.NotSent(err):
		if a.run.incoming.Context().Err() != nil {
			return directory.Neutral, false, notSent
		}
		return directory.Broken, false, notSent
	case a.run.incoming.Context().Err() != nil:
		return directory.Neutral, false, uncertain
	default:
		return directory.Broken, false, uncertain
	}
}

// answered judges the head of an answer and passes it on.
func (a *attempt) answered() (directory.Outcome, bool, verdict) {
	response := a.answer.Response
	dialect := a.run.service.dialect
	status := response.StatusCode
	a.status = status
	switch {
	case dialect.NotRun(status, response.Header) && status != http.StatusBadRequest:
		missing := status == http.StatusMisdirectedRequest
		a.drain()
		return directory.Refused, missing, notRun
	case status < http.StatusMultipleChoices && !dialect.Genuine(response.Header):
		a.discard()
		return directory.Broken, false, uncertain
	case a.run.answer.status != 0:
		return a.resumeStream()
	case a.run.request.Route.Kind == deployment.Streaming && status < http.StatusMultipleChoices:
		return a.passStream()
	default:
		return a.passWhole()
	}
}

// startHeadTimer gives the endpoint up when the head of the answer takes too long. A head that may take
// all the time there is needs no timer: the request's own deadline ends it, and tells the reason.
func (a *attempt) startHeadTimer(giveUp func()) *time.Timer {
	left := a.run.request.Deadline.Sub(a.run.service.options.Now())
	limit := a.headLimit(left)
	timer := time.AfterFunc(max(limit, 0), giveUp)
	if limit >= left {
		timer.Stop()
	}
	return timer
}

// headLimit is how long the head of the answer may take: all the time that is left, unless another
// endpoint could still be tried.
func (a *attempt) headLimit(left time.Duration) time.Duration {
	r := a.run
	if r.request.Route.Kind == deployment.Streaming {
		return min(left, streamHeadLimit(r.request.Route))
	}
	if r.request.Route.Repeatable() && r.attempts < r.request.Route.MaxAttempts {
		return left / 2
	}
	return left
}

// drain reads a small refusal to its end, so that its connection can be used again.
func (a *attempt) drain() {
	_, _ = io.CopyN(io.Discard, a.answer, smallBody)
	a.discard()
}

// discard ends the exchange.
func (a *attempt) discard() {
	if a.answer != nil {
		a.answer.Close()
		a.answer = nil
	}
	if a.cancel != nil {
		a.cancel()
		a.cancel = nil
	}
}
