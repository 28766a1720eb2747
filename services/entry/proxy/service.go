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

// ErrProcessEnds is the cause with which the context of a request ends that the end of the process cuts off.
var ErrProcessEnds = errors.New("proxy: the process ends")

// Control is the part of the coordinator that requests need, as function fields.
type Control struct {
	Configuration func() *deployment.Configuration
	// Acquire waits for an endpoint; Finish must follow the exchange with it.
	Acquire func(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error)
	Finish  func(request *deployment.Request, assignment coordinator.Assignment, outcome directory.Outcome, missing bool)
	// Running tells, at most once before Finish, that the endpoint runs a request that uses a model.
	Running func(request *deployment.Request, assignment coordinator.Assignment)
	// Crashed tells, before Finish, that the endpoint ended while it had the request; Unanswered that it may still have it; Answered that the
	// request got a whole answer.
	Crashed    func(request *deployment.Request, assignment coordinator.Assignment)
	Unanswered func(request *deployment.Request, assignment coordinator.Assignment)
	Answered   func(request *deployment.Request)
	// Heard tells what the endpoint said of itself in the answer to a request that was sent at a time.
	Heard func(assignment coordinator.Assignment, sent time.Time, notice deployment.Notice)
	// CountRequest counts a request for the budget of retries; TakeRetry asks it for one.
	CountRequest func(service string)
	TakeRetry    func(service string) bool
}

// Options are the settings of a Service.
type Options struct {
	Now func() time.Time
	// Timer gives the moment at which a timer must fire for a time of Now, and WithDeadline a context that ends at one; nil where timers go
	// by Now.
	Timer        func(at time.Time) time.Time
	WithDeadline func(parent context.Context, at time.Time) (context.Context, context.CancelFunc)
	Random       func() float64
	Log          *logrus.Entry
	// Refusing reports whether new requests are refused because the process ends.
	Refusing func(kind deployment.RouteKind) bool
	// Leaving reports whether connections are closed after their answer.
	Leaving func() bool
	// Observe gets the end of each request.
	Observe func(Observation)
}

// Service serves callers' requests.
type Service struct {
	options  Options
	control  Control
	upstream *upstream.Client
	dialect  Dialect
}

// New makes a service.
func New(options Options, control Control, client *upstream.Client, dialect Dialect) *Service {
	if options.Timer == nil {
		options.Timer, options.WithDeadline = func(at time.Time) time.Time { return at }, context.WithDeadline
	}
	return &Service{options: options, control: control, upstream: client, dialect: dialect}
}

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	arrived := s.options.Now()
	if s.options.Leaving() {
		writer.Header().Set("Connection", "close")
	}
	answer := &answerWriter{writer: writer, controller: http.NewResponseController(writer), now: s.options.Now, timer: s.options.Timer}
	defer s.endFault(answer)
	configuration := s.control.Configuration()
	if configuration == nil {
		s.refuse(answer, incoming, nil, arrived, attempt.NoConfiguration)
		return
	}
	route := configuration.Match(incoming.Host, rawPath(incoming))
	if route == nil {
		s.refuse(answer, incoming, nil, arrived, attempt.NoRoute)
		return
	}
	if limit := configuration.Limits.MaxHeaderBytes; limit > 0 && headerBytes(incoming) > limit {
		s.refuse(answer, incoming, route, arrived, attempt.HeaderTooLarge)
		return
	}
	if s.options.Refusing(route.Kind) {
		s.refuse(answer, incoming, route, arrived, attempt.Stopping)
		return
	}
	s.serveRoute(answer, incoming, configuration, route, arrived)
}

// endFault ends a request that a fault of the program stopped: its caller gets an answer where it has no part of one, and the log tells.
func (s *Service) endFault(answer *answerWriter) {
	fault := recover()
	if fault == nil {
		return
	}
	if err, ok := fault.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(fault)
	}
	s.options.Log.WithFields(logrus.Fields{"error": fmt.Sprint(fault), "stack": string(debug.Stack())}).Error("a request failed by a fault of the program")
	if answer.status != 0 {
		panic(http.ErrAbortHandler)
	}
	answer.refuse(attempt.ProgramFault)
}

// refuse answers and logs a request for which no endpoint is asked; it is not counted. The route is nil where none is known.
func (s *Service) refuse(answer *answerWriter, incoming *http.Request, route *deployment.Route, arrived time.Time, ending attempt.Ending) {
	answer.refuse(ending)
	caller := s.dialect.ReadRequest(incoming.Header)
	observation := Observation{
		ID: caller.ID, Adapter: caller.Adapter.String(), Status: answer.status, Reason: string(ending.Reason),
		First: answer.headAt.Sub(arrived), Whole: s.options.Now().Sub(arrived),
	}
	if route != nil {
		observation.Route = route.Name
	}
	s.log(observation)
}

func (s *Service) serveRoute(answer *answerWriter, incoming *http.Request, configuration *deployment.Configuration, route *deployment.Route, arrived time.Time) {
	caller := s.dialect.ReadRequest(incoming.Header)
	request := &deployment.Request{
		ID: shortened(caller.ID), Route: route, Service: balance.ChooseBackend(route, s.options.Random()), Adapter: caller.Adapter,
		Prompt: caller.Prompt, Arrived: arrived, Deadline: attempt.Deadline(arrived, route, caller.Timeout),
	}
	if service := configuration.Services[request.Service]; service == nil || service.Engine == nil {
		request.Adapter = deployment.Adapter{}
		request.Prompt = 0
	}
	body, err := s.readBody(answer, incoming, configuration, request.Deadline)
	if err != nil {
		s.endUnread(answer, incoming, route, arrived, err)
		return
	}
	request.Fingerprint = fingerprintOf(incoming, request.Adapter, &body)
	s.control.CountRequest(request.Service)
	ctx, cancel := s.options.WithDeadline(incoming.Context(), request.Deadline)
	defer cancel()
	defer answer.boundWriting(incoming.Context(), request.Deadline)()
	run := &run{service: s, answer: answer, incoming: incoming, request: request, caller: caller, body: body, context: ctx}
	// An answer that breaks off ends by a panic, which net/http takes for closing the connection.
	defer s.observe(run)
	run.serve()
}

// fingerprintOf tells a request from others, by what the caller sent. A body that is not held whole counts by its beginning and its length,
// since it must be known before anything is sent.
func fingerprintOf(incoming *http.Request, adapter deployment.Adapter, body *requestBody) fingerprint.Fingerprint {
	return fingerprint.Content{
		Method: incoming.Method, Host: incoming.Host, Path: rawPath(incoming), Query: incoming.URL.RawQuery, Adapter: adapter.String(),
		Body: body.held, Length: body.length,
	}.Fingerprint()
}

// headerBytes is the size of a request's head as it was sent, but for spaces that were dropped.
func headerBytes(incoming *http.Request) int {
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

// rawPath is the path as the caller wrote it.
func rawPath(incoming *http.Request) string {
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return incoming.URL.EscapedPath()
}
