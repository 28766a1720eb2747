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
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// inflight is one request that is in flight, from its arrival at the route to the end of its response.
type inflight struct {
	service  *Service
	response *responseWriter
	incoming *http.Request
	request  *deployment.Request
	caller   CallerHeader
	body     requestBody
	context  context.Context
	tried    []deployment.EndpointID
	// recall is the recall of the current attempt.
	recall *recall.Recall
	// sentCount is the number of endpoints that the request was sent to, unreachedCount the number of endpoints to which nothing
	// could be sent, and inPlaceCount how often the request was sent again to the endpoint that served it since the last forwarded
	// event.
	sentCount      int
	unreachedCount int
	inPlaceCount   int
	// lastRefused is set if the endpoint of the last attempt refused the request, lastLimited if a limit of this instance prevented that attempt.
	lastRefused, lastLimited bool
	// lastServed is the endpoint whose events were forwarded last; empty for none. software is that of the endpoint whose events were
	// forwarded first; empty if unknown.
	lastServed deployment.EndpointID
	software   string
	// expected is the software of the endpoint that a stream which can be taken up was first sent to; empty for other requests and if unknown. The
	// stream keeps to it before its first event as well, since others were told that it begins there.
	expected string
	// lastGone is the endpoint of the last attempt during which an endpoint's process ended; empty for none.
	lastGone deployment.EndpointID
	// successor is an exchange whose response started while the former endpoint was silent; nil for none.
	successor *exchange
	// mayHaveRun is set when an attempt ended without proof that the request did not run.
	mayHaveRun bool
	// lastEvent is the id of the last complete event that was forwarded.
	lastEvent string
	reason    attempt.Reason
	records   []AttemptRecord
}

// serve makes attempts until the request has a response or package attempt decides to give up.
func (r *inflight) serve() {
	defer r.discardSuccessor()
	for {
		next, err := r.nextExchange()
		if err != nil {
			r.end(attempt.EndWithoutEndpoint(r.situation(), admissionDecision(err)), nil)
			return
		}
		first := r.countAttempt(next)
		r.recall = next.assignment.Recall
		result := next.do()
		r.recordResult(result, first)
		r.lastLimited = next.failure.IsOwnLimit()
		if next.endpointGone {
			r.lastGone = next.assignment.Endpoint.ID
		}
		if r.lastEvent != next.startPosition.lastEvent {
			r.inPlaceCount = 0
		}
		switch r.nextStep(result) {
		case attempt.Done:
			return
		case attempt.GiveUp:
			r.giveUp(result, next)
			return
		case attempt.RetryWithinBudget:
			if !r.acquireRetry() {
				r.giveUp(result, next)
				return
			}
		case attempt.TryNext:
		}
		next.discard()
		r.tried = append(r.tried, next.assignment.Endpoint.ID)
	}
}

// nextStep decides what follows the end of an attempt. If a successor has started to respond, no further endpoint is needed.
func (r *inflight) nextStep(result attempt.Result) attempt.Step {
	if r.successor != nil && result != attempt.Finished {
		return attempt.TryNext
	}
	return attempt.NextStep(r.service.options.Now(), result, r.situation())
}

// countAttempt counts an attempt when it starts. The attempt of a successor has already been counted. It returns true if the endpoint
// was not sent the request before.
func (r *inflight) countAttempt(next *exchange) (first bool) {
	first = !slices.Contains(r.tried, next.assignment.Endpoint.ID)
	if next.response != nil {
		return first
	}
	if first {
		r.sentCount++
	} else {
		r.inPlaceCount++
	}
	return first
}

// recordResult updates the request's state with the result of an attempt; first is set if the endpoint was not sent the request
// before.
func (r *inflight) recordResult(result attempt.Result, first bool) {
	r.lastRefused = result == attempt.NotRun
	if result == attempt.NotSent {
		r.unreachedCount++
	}
	if result == attempt.NotSent && first {
		r.sentCount--
	}
	if !attempt.ProvesNotRun(result) {
		r.mayHaveRun = true
	}
}

// position is the part of the response that the caller has received.
type position struct {
	headForwarded bool
	// lastEvent is the id of the last complete event that was forwarded; empty for none.
	lastEvent string
	// lastServed is the endpoint whose events were forwarded last; empty for none. software is that of all endpoints whose events were
	// forwarded; empty if unknown.
	lastServed deployment.EndpointID
	software   string
	// expected is the software that a stream keeps to before its first event; empty if it may begin at any.
	expected string
}

// onlyInPlace reports whether no other endpoint than the last one may continue the stream: of none is it known that it runs the software
// that began the stream.
func (p position) onlyInPlace() bool {
	return p.lastServed != "" && p.software == ""
}

// bind restricts a request that continues a stream at the position to the endpoints that may do so.
func (p position) bind(request *deployment.Request) {
	if p.onlyInPlace() {
		request.OnlyEndpoint = p.lastServed
	}
	switch {
	case p.software != "":
		request.Software = p.software
	case p.expected != "" && p.lastServed == "":
		request.Software = p.expected
	}
}

// position returns the current position; it may be called only on the goroutine that serves the request.
func (r *inflight) position() position {
	return position{headForwarded: r.response.status != 0, lastEvent: r.lastEvent, lastServed: r.lastServed, software: r.software, expected: r.expected}
}

// recordServed records that an endpoint's events were forwarded.
func (r *inflight) recordServed(endpoint deployment.Endpoint) {
	if r.lastServed == "" {
		r.software = endpoint.Software
	}
	r.lastServed = endpoint.ID
}

// situation returns the input for the decisions of package attempt on the request.
func (r *inflight) situation() attempt.Situation {
	return r.situationAt(r.position())
}

// situationAt returns the situation for a caller that has received the response up to a position.
func (r *inflight) situationAt(received position) attempt.Situation {
	return attempt.Situation{
		Route: r.request.Route, Deadline: r.request.Deadline, Sent: r.sentCount, Unreached: r.unreachedCount, InPlace: r.inPlaceCount, ServedGone: r.lastGone != "" && r.lastGone == r.lastServed, Refused: r.lastRefused, OwnLimit: r.lastLimited, MayHaveRun: r.mayHaveRun,
		BodyBuffered: r.body.remainder == nil, HeadForwarded: received.headForwarded, EventForwarded: received.lastEvent != "",
		OnlyInPlace: received.onlyInPlace(), BodyTooLarge: r.body.tooLarge(), Recalled: r.recall.Fired(), CallerLeft: r.callerLeft(), ContextEnded: r.context.Err() != nil,
		ProcessEnds: r.processEnds(),
	}
}

// callerLeft reports whether the caller closed its connection.
func (r *inflight) callerLeft() bool {
	return r.incoming.Context().Err() != nil && !r.processEnds()
}

// processEnds reports whether the shutdown of the process aborts the request.
func (r *inflight) processEnds() bool {
	return errors.Is(context.Cause(r.incoming.Context()), ErrProcessEnds)
}

// admissionDecision returns the decision of package admission that an error of the coordinator contains, or nil for other errors.
func admissionDecision(err error) *admission.Decision {
	var refused *coordinator.Refusal
	if !errors.As(err, &refused) {
		return nil
	}
	return &admission.Decision{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
}

// giveUp ends a request after its last attempt failed.
func (r *inflight) giveUp(result attempt.Result, last *exchange) {
	r.end(attempt.End(r.service.options.Now(), result, r.situation()), last)
}

// end ends the request as decided; last is the attempt whose error response may be forwarded.
func (r *inflight) end(ending attempt.Ending, last *exchange) {
	r.reason = ending.Reason
	switch ending.Closing {
	case attempt.ForwardError:
		last.forwardBuffered()
	case attempt.Abort:
		// On this panic, net/http closes the connection.
		panic(http.ErrAbortHandler)
	case attempt.Refuse:
		r.response.refuse(ending)
	}
}

// dialectHeaders is the number of headers that the dialect may add, so that the map need not grow.
const dialectHeaders = 4

// newOutgoingRequest returns the request that is sent to an endpoint. It asks to resume the stream after the event resumeAfter,
// unless that is empty. cancel is called if the body turns out to be too large.
func (r *inflight) newOutgoingRequest(assignment coordinator.Assignment, now time.Time, resumeAfter string, cancel func()) *http.Request {
	header := make(http.Header, len(r.incoming.Header)+dialectHeaders)
	copyEndToEndHeaders(header, r.incoming.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An empty value prevents net/http from adding its own header.
		header.Set("User-Agent", "")
	}
	r.service.dialect.WriteForward(header, ForwardHeader{
		Endpoint: assignment.Endpoint.ID, HasDeadline: r.caller.Timeout > 0, Remaining: r.remainingTime(now),
		UsesModel: r.request.UsesModel(), Urgency: assignment.Urgency, Version: assignment.Version, ResumeAfter: resumeAfter,
	})
	outgoing := &http.Request{
		Method: r.incoming.Method, URL: requestURL(r.incoming), Host: r.incoming.Host, Header: header, ContentLength: r.body.length,
	}
	if body := r.body.newReader(cancel); body != nil {
		outgoing.Body = body
	}
	return outgoing
}

// remainingTime returns the rest of the time-out that the caller specified in its header.
func (r *inflight) remainingTime(now time.Time) time.Duration {
	return r.request.Arrived.Add(r.caller.Timeout).Sub(now)
}

// requestURL returns a URL with the path and query in the encoding that the caller sent.
func requestURL(incoming *http.Request) *url.URL {
	if strings.HasPrefix(incoming.RequestURI, "/") && !strings.HasPrefix(incoming.RequestURI, "//") {
		return &url.URL{Opaque: incoming.RequestURI, Host: incoming.Host, Scheme: "http"}
	}
	return incoming.URL
}
