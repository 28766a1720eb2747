// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// run is one request on its way through the entry.
type run struct {
	service  *Service
	answer   *answerWriter
	incoming *http.Request
	request  *deployment.Request
	caller   CallerHeader
	body     requestBody
	context  context.Context
	tried    []deployment.EndpointID
	// recall is that of the present attempt.
	recall *unbegun.Recall
	// sent is how many endpoints the request was sent to; unreached how many nothing could be sent to; inPlace how often it was sent
	// again to the one that served it, since the last event that was passed on.
	sent      int
	unreached int
	inPlace   int
	// refused is set while the last attempt is one that its endpoint refused.
	refused bool
	// served is the endpoint whose events were passed on last; empty for none.
	served deployment.EndpointID
	// successor is an exchange whose answer has begun while the former endpoint was silent; nil for none.
	successor *exchange
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// lastEvent is the last whole event passed on.
	lastEvent string
	reason    attempt.Reason
	records   []AttemptRecord
}

// serve tries endpoints until the request has an answer or package attempt gives it up.
func (r *run) serve() {
	defer r.dropSuccessor()
	for {
		next, err := r.nextExchange()
		if err != nil {
			r.end(attempt.EndWithoutEndpoint(r.situation(), refusal(err)), nil)
			return
		}
		first := r.countSent(next)
		r.recall = next.assignment.Recall
		result := next.do()
		r.count(result, first)
		if r.lastEvent != next.from.lastEvent {
			r.inPlace = 0
		}
		switch r.step(result) {
		case attempt.Done:
			return
		case attempt.GiveUp:
			r.giveUp(result, next)
			return
		case attempt.RetryWithinBudget:
			if !r.takeRetry() {
				r.giveUp(result, next)
				return
			}
		case attempt.TryNext:
		}
		next.discard()
		r.tried = append(r.tried, next.assignment.Endpoint.ID)
	}
}

// step decides what follows from the end of an attempt. One whose successor has begun to answer needs no other.
func (r *run) step(result attempt.Result) attempt.Step {
	if r.successor != nil && result != attempt.Finished {
		return attempt.TryNext
	}
	return attempt.Next(r.service.options.Now(), result, r.situation())
}

// countSent counts an attempt that begins, unless its answer has begun and it was counted then; true where its endpoint was not sent the
// request before.
func (r *run) countSent(next *exchange) (first bool) {
	first = !slices.Contains(r.tried, next.assignment.Endpoint.ID)
	if next.answer != nil {
		return first
	}
	if first {
		r.sent++
	} else {
		r.inPlace++
	}
	return first
}

// count notes what an attempt's result says of the request; first says that the endpoint was not sent it before.
func (r *run) count(result attempt.Result, first bool) {
	r.refused = result == attempt.NotRun
	if result == attempt.NotSent {
		r.unreached++
	}
	if result == attempt.NotSent && first {
		r.sent--
	}
	if !attempt.ProvesNotRun(result) {
		r.mayHaveRun = true
	}
}

// position is how much of its answer a caller has.
type position struct {
	headPassed bool
	// lastEvent is the last whole event that was passed on; empty for none.
	lastEvent string
}

// position gives how much the caller has; only the goroutine that serves the request may ask.
func (r *run) position() position {
	return position{headPassed: r.answer.status != 0, lastEvent: r.lastEvent}
}

// situation gives what decisions need to know of the request.
func (r *run) situation() attempt.Situation {
	return r.situationAt(r.position())
}

// situationAt gives the same where the caller has its answer up to a position.
func (r *run) situationAt(at position) attempt.Situation {
	return attempt.Situation{
		Route: r.request.Route, Deadline: r.request.Deadline, Sent: r.sent, Unreached: r.unreached, InPlace: r.inPlace, Refused: r.refused, MayHaveRun: r.mayHaveRun,
		BodyHeld: r.body.rest == nil, HeadPassed: at.headPassed, EventPassed: at.lastEvent != "",
		BodyTooLarge: r.body.tooLarge(), TakenBack: r.recall.Fired(), CallerLeft: r.callerLeft(), ContextEnded: r.context.Err() != nil,
		ProcessEnds: r.processEnds(),
	}
}

// callerLeft reports whether the caller closed its connection.
func (r *run) callerLeft() bool {
	return r.incoming.Context().Err() != nil && !r.processEnds()
}

// processEnds reports whether the end of the process cuts the request off.
func (r *run) processEnds() bool {
	return errors.Is(context.Cause(r.incoming.Context()), ErrProcessEnds)
}

// refusal gives the decision of package admission that an error of the coordinator holds, nil for others.
func refusal(err error) *admission.Decision {
	var refused *coordinator.Refusal
	if !errors.As(err, &refused) {
		return nil
	}
	return &admission.Decision{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
}

// giveUp ends a request after its last attempt.
func (r *run) giveUp(result attempt.Result, last *exchange) {
	r.end(attempt.End(r.service.options.Now(), result, r.situation()), last)
}

// end carries out how a request ends; last is the attempt whose error may be passed on.
func (r *run) end(ending attempt.Ending, last *exchange) {
	r.reason = ending.Reason
	switch ending.Closing {
	case attempt.PassError:
		last.passHeld()
	case attempt.Abort:
		// net/http takes this panic for closing the connection.
		panic(http.ErrAbortHandler)
	case attempt.Refuse:
		r.answer.refuse(ending)
		if r.body.tooLarge() {
			r.answer.letReadAnswer(r.incoming.Body)
		}
	}
}

// addedHeaders is room for the headers that the dialect adds, so that the map need not grow.
const addedHeaders = 4

// forward builds the request that goes to an endpoint, to go on after an event or empty to begin; giveUp ends the exchange where its body turns out to be too large.
func (r *run) forward(assignment coordinator.Assignment, now time.Time, resumeAfter string, giveUp func()) *http.Request {
	header := make(http.Header, len(r.incoming.Header)+addedHeaders)
	copyHeader(header, r.incoming.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header.Set("User-Agent", "")
	}
	r.service.dialect.WriteForward(header, ForwardHeader{
		Endpoint: assignment.Endpoint.ID, HasDeadline: r.caller.Timeout > 0, Remaining: r.remaining(now),
		UsesModel: r.request.UsesModel(), Urgency: assignment.Urgency, Version: assignment.Version, ResumeAfter: resumeAfter,
	})
	outgoing := &http.Request{
		Method: r.incoming.Method, URL: requestURL(r.incoming), Host: r.incoming.Host, Header: header, ContentLength: r.body.length,
	}
	if body := r.body.reader(giveUp); body != nil {
		outgoing.Body = body
	}
	return outgoing
}

// remaining is how much longer the caller waits, by its own header.
func (r *run) remaining(now time.Time) time.Duration {
	return r.request.Arrived.Add(r.caller.Timeout).Sub(now)
}

// requestURL keeps path and query as the caller wrote them.
func requestURL(incoming *http.Request) *url.URL {
	if strings.HasPrefix(incoming.RequestURI, "/") && !strings.HasPrefix(incoming.RequestURI, "//") {
		return &url.URL{Opaque: incoming.RequestURI, Host: incoming.Host, Scheme: "http"}
	}
	return incoming.URL
}
