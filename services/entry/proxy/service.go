// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// ErrProcessEnds is the cancellation cause of the context of a request that is aborted because the process shuts down.
var ErrProcessEnds = errors.New("proxy: process is shutting down")

// Control holds the functions of the coordinator that serving requests needs.
type Control struct {
	Configuration func() *deployment.Configuration
	// Acquire waits for an endpoint. Finish must be called after the exchange with that endpoint.
	Acquire func(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error)
	Finish  func(request *deployment.Request, assignment coordinator.Assignment, outcome directory.Outcome, missing bool)
	// MarkRunning reports that the endpoint has started to run a request that uses a model. It is called at most once, before Finish.
	MarkRunning func(request *deployment.Request, assignment coordinator.Assignment)
	// RecordCrash reports that the endpoint's process ended while it had the request, RecordUnanswered that the endpoint may still
	// have the request, and RecordAnswered that the request got a complete response. RecordCrash and RecordUnanswered are called
	// before Finish.
	RecordCrash      func(request *deployment.Request, assignment coordinator.Assignment)
	RecordUnanswered func(request *deployment.Request, assignment coordinator.Assignment)
	RecordAnswered   func(request *deployment.Request)
	// ApplyNotice passes on the notice in the response of an endpoint to a request that was sent at the given time.
	ApplyNotice func(assignment coordinator.Assignment, sent time.Time, notice deployment.Notice)
	// CountRequest adds a request to the basis of the retry budget. TakeRetry reports whether the budget grants a retry, which it then counts.
	CountRequest func(service string)
	TakeRetry    func(service string) bool
	// Origins are nil if all endpoints run the same software.
	Origins Origins
}

// Options are the settings of a Service.
type Options struct {
	Now func() time.Time
	// Timer returns the time at which a Go timer must fire for a time on the clock of Now, and WithDeadline returns a context with
	// such a deadline. Both may be nil if timers use the clock of Now.
	Timer        func(at time.Time) time.Time
	WithDeadline func(parent context.Context, at time.Time) (context.Context, context.CancelFunc)
	Random       func() float64
	Log          *logrus.Entry
	// ShouldRefuse reports whether new requests of a kind are refused because the process is shutting down.
	ShouldRefuse func(kind deployment.RouteKind) bool
	// Leaving reports whether each connection is closed after its response.
	Leaving func() bool
	// LinkBroken reports whether this instance's own link to an endpoint has failed, so that a failed exchange shows nothing about the
	// endpoint; nil if that is not known.
	LinkBroken func(id deployment.EndpointID) bool
	// Observe is called when a counted request has ended.
	Observe func(Observation)
}

// Service serves callers' requests.
type Service struct {
	options  Options
	control  Control
	upstream *upstream.Client
	dialect  Dialect
	// pending is the memory for large incomplete events of all streams.
	pending pendingBudget
}

// New returns a service.
func New(options Options, control Control, client *upstream.Client, dialect Dialect) *Service {
	if options.Timer == nil {
		options.Timer, options.WithDeadline = func(at time.Time) time.Time { return at }, context.WithDeadline
	}
	if options.LinkBroken == nil {
		options.LinkBroken = func(deployment.EndpointID) bool { return false }
	}
	return &Service{options: options, control: control, upstream: client, dialect: dialect}
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	arrived := s.options.Now()
	if s.options.Leaving() {
		writer.Header().Set("Connection", "close")
	}
	response := newResponseWriter(writer, incoming, s.options)
	defer s.recoverPanic(response)
	s.serve(response, incoming, arrived)
	response.linger()
}

// serve finds the route of a request, and refuses a request that is not to be forwarded.
func (s *Service) serve(response *responseWriter, incoming *http.Request, arrived time.Time) {
	configuration := s.control.Configuration()
	if configuration == nil {
		s.refuse(response, incoming, nil, arrived, attempt.NoConfiguration)
		return
	}
	route := configuration.Match(incoming.Host, rawPath(incoming))
	if route == nil {
		s.refuse(response, incoming, nil, arrived, attempt.NoRoute)
		return
	}
	if limit := configuration.Limits.MaxHeaderBytes; limit > 0 && headerSize(incoming) > limit {
		s.refuse(response, incoming, route, arrived, attempt.HeaderTooLarge)
		return
	}
	if s.options.ShouldRefuse(route.Kind) {
		s.refuse(response, incoming, route, arrived, attempt.Stopping)
		return
	}
	s.serveRoute(response, incoming, configuration, route, arrived)
}

// recoverPanic logs a panic and answers the request with an error, or closes the connection if the response has already started.
func (s *Service) recoverPanic(response *responseWriter) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(fault)
	}
	s.options.Log.WithFields(logrus.Fields{"error": fmt.Sprint(fault), "stack": string(debug.Stack())}).Error("a request failed by a fault of the program")
	if response.status != 0 {
		panic(http.ErrAbortHandler)
	}
	response.refuse(attempt.ProgramFault)
}

// refuse answers and logs a request for which no endpoint is chosen. Such a request is not counted. The route is nil if none matched.
func (s *Service) refuse(response *responseWriter, incoming *http.Request, route *deployment.Route, arrived time.Time, ending attempt.Ending) {
	response.refuse(ending)
	caller := s.dialect.ReadRequest(incoming.Header)
	observation := Observation{
		ID: caller.ID, Adapter: caller.Adapter.String(), Status: response.status, Reason: string(ending.Reason),
		First: response.headWrittenAt.Sub(arrived), Whole: s.options.Now().Sub(arrived),
	}
	if route != nil {
		observation.Route = route.Name
	}
	s.log(observation)
}

// serveRoute reads the body of a request that matched a route, and forwards the request.
func (s *Service) serveRoute(response *responseWriter, incoming *http.Request, configuration *deployment.Configuration, route *deployment.Route, arrived time.Time) {
	caller := s.dialect.ReadRequest(incoming.Header)
	request := &deployment.Request{
		ID: truncateForLog(caller.ID), Route: route, Service: balance.ChooseBackend(route, s.options.Random()), Adapter: caller.Adapter,
		PromptTokens: caller.PromptTokens, Parts: caller.Parts, Arrived: arrived, Deadline: attempt.Deadline(arrived, route, caller.Timeout),
	}
	originKnown := s.restrictToOrigin(incoming.Context(), request, caller)
	if service := configuration.Services[request.Service]; service == nil || service.Engine == nil {
		request.Adapter = deployment.Adapter{}
		request.PromptTokens = 0
	}
	body, err := s.readBody(response, incoming, configuration, request.Deadline)
	if err != nil {
		s.refuseUnreadBody(response, incoming, route, arrived, err)
		return
	}
	request.Fingerprint = requestFingerprint(incoming, request.Adapter, &body)
	s.control.CountRequest(request.Service)
	ctx, cancel := s.options.WithDeadline(incoming.Context(), request.Deadline)
	defer cancel()
	defer response.limitWriting(incoming.Context(), request.Deadline)()
	inflight := &inflight{service: s, response: response, incoming: incoming, request: request, caller: caller, body: body, context: ctx}
	// An interrupted response ends with the panic http.ErrAbortHandler, on which net/http closes the connection.
	defer s.observe(inflight)
	if !originKnown {
		inflight.refuseUnknownOrigin()
		return
	}
	inflight.serve()
}

// requestFingerprint returns the fingerprint of the content that the caller sent. A body that is not fully buffered is represented by
// its beginning and its length, because the fingerprint must be known before anything is forwarded.
func requestFingerprint(incoming *http.Request, adapter deployment.Adapter, body *requestBody) fingerprint.Fingerprint {
	return fingerprint.Content{
		Method: incoming.Method, Host: incoming.Host, Path: rawPath(incoming), Query: incoming.URL.RawQuery, Adapter: adapter.String(),
		Body: body.buffered, Length: body.length,
	}.Fingerprint()
}

// headerSize returns the size in bytes of a request's head as it was sent, without whitespace that the parser dropped.
func headerSize(incoming *http.Request) int {
	const separators = len(": \r\n")
	size := len(incoming.Method) + len(incoming.RequestURI) + separators
	size += len("Host") + len(incoming.Host) + separators
	for name, values := range incoming.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// rawPath returns the path in the encoding that the caller sent.
func rawPath(incoming *http.Request) string {
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return incoming.URL.EscapedPath()
}
