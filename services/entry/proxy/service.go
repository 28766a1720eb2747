// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
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
	// CountRequest counts a request for the budget of retries; TakeRetry asks it for one.
	CountRequest func(service string)
	TakeRetry    func(service string) bool
}

// Options are the settings of a Service.
type Options struct {
	Now    func() time.Time
	Random func() float64
	Log    *logrus.Entry
	// Refusing reports whether new requests are refused because the process ends.
	Refusing func(kind deployment.RouteKind) bool
	// Leaving reports whether connections are closed after their answer.
	Leaving func() bool
	// Observe gets the end of each request.
	Observe func(Observation)
}

// Observation is the end of one request, with what decided it.
type Observation struct {
	ID      string
	Route   string
	Service string
	Adapter string
	// Status is 0 where the connection was closed without an answer; Caller is the other end's address then, empty otherwise.
	Status int
	Caller string
	// Reason says why there was no success; empty for a success.
	Reason   string
	Attempts []AttemptRecord
	// First is the time from the arrival to the head of the answer, 0 for none; Whole that to its end.
	First time.Duration
	Whole time.Duration
}

// Waited is the wait for endpoints, over all attempts.
func (o Observation) Waited() time.Duration {
	waited := int64(0)
	for _, record := range o.Attempts {
		waited += record.WaitedMS
	}
	return time.Duration(waited) * time.Millisecond
}

// StartRatios gives, for each attempt that ran and had an expected time, by what factor it took longer until then.
func (o Observation) StartRatios() []float64 {
	var ratios []float64
	for _, record := range o.Attempts {
		if record.StartRatio > 0 {
			ratios = append(ratios, record.StartRatio)
		}
	}
	return ratios
}

// AttemptRecord is one exchange with an endpoint.
type AttemptRecord struct {
	Endpoint deployment.EndpointID `json:"endpoint"`
	// WaitedMS and TookMS are the waits for an endpoint and for the end of the exchange.
	WaitedMS int64 `json:"waited_ms"`
	TookMS   int64 `json:"took_ms"`
	// Result is how the exchange ended; Status the endpoint's own, 0 for none.
	Result attempt.Result `json:"result"`
	Status int            `json:"status,omitempty"`
	// StartRatio is how long the endpoint took until the request ran, over what was expected; 0 where there is nothing to tell.
	// Worked out from whole milliseconds, it would leave out each request that runs in less than one.
	StartRatio float64 `json:"-"`
	// ExpectedMS is how long the endpoint was expected to take until the request runs, by the declared prompts; RanAfterMS how
	// long it took; 0 where there is nothing to tell.
	ExpectedMS int64 `json:"expected_ms"`
	RanAfterMS int64 `json:"ran_after_ms"`
	// VersionDemanded and VersionHeld are the versions of the adapter that the endpoint had to hold, and was taken to hold when it
	// was chosen; 0 for none. Its answer tells only the base model's.
	VersionDemanded int64 `json:"version_demanded,omitempty"`
	VersionHeld     int64 `json:"version_held,omitempty"`
	// FormerLeftMS is how long a former version was still allowed when an endpoint was chosen that holds none newer,
	// FormerExpectedMS how long the request was expected to wait in its queue; 0 where the named version was there.
	FormerLeftMS     int64 `json:"former_left_ms,omitempty"`
	FormerExpectedMS int64 `json:"former_expected_ms,omitempty"`
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
	return &Service{options: options, control: control, upstream: client, dialect: dialect}
}

// ServeHTTP serves one request.
func (s *Service) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	arrived := s.options.Now()
	if s.options.Leaving() {
		writer.Header().Set("Connection", "close")
	}
	answer := &answerWriter{writer: writer, controller: http.NewResponseController(writer), now: s.options.Now}
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
	s.control.CountRequest(request.Service)
	ctx, cancel := context.WithDeadline(incoming.Context(), request.Deadline)
	defer cancel()
	run := &run{service: s, answer: answer, incoming: incoming, request: request, caller: caller, body: body, context: ctx}
	// An answer that breaks off ends by a panic, which net/http takes for closing the connection.
	defer s.observe(run)
	run.serve()
}

// readBody reads a request's body, at most until its deadline: a caller that stops sending would hold the request for ever.
func (s *Service) readBody(answer *answerWriter, incoming *http.Request, configuration *deployment.Configuration, deadline time.Time) (requestBody, error) {
	if incoming.Body == nil || incoming.Body == http.NoBody {
		return requestBody{}, nil
	}
	answer.boundReading(deadline)
	body, err := readBody(incoming, configuration.Limits.MaxBodyBytes)
	if err != nil {
		return requestBody{}, err
	}
	if body.rest != nil {
		answer.boundReading(deadline.Add(restMargin))
		return body, nil
	}
	answer.boundReading(time.Time{})
	return body, nil
}

// restMargin is how long after a request's deadline the rest of its large body may still be read: net/http closes the body after the
// answer, and would wait there for a caller that stopped sending. It must be so long that the answer goes first. Not measured.
const restMargin = 500 * time.Millisecond

// endUnread ends a request whose body could not be read; it has not run.
func (s *Service) endUnread(answer *answerWriter, incoming *http.Request, route *deployment.Route, arrived time.Time, failed error) {
	ending := attempt.EndUnread(attempt.Unread{
		TooLarge: errors.Is(failed, errBodyTooLarge), TimedOut: errors.Is(failed, os.ErrDeadlineExceeded), CallerLeft: callerEnded(failed),
	})
	if ending.Closing == attempt.Abort {
		s.logUnanswered(incoming, route, arrived, ending)
		// net/http takes this panic for closing the connection.
		panic(http.ErrAbortHandler)
	}
	if ending == attempt.BodyTooLarge {
		s.refuse(answer, incoming, route, arrived, ending)
		answer.letReadAnswer(incoming.Body)
		return
	}
	// What follows on the connection belongs to the body that was not read.
	answer.writer.Header().Set("Connection", "close")
	s.refuse(answer, incoming, route, arrived, ending)
}

// callerEnded reports whether a body could not be read since its caller closed or broke the connection, and not for what it sent.
func callerEnded(failed error) bool {
	var network *net.OpError
	return errors.Is(failed, io.ErrUnexpectedEOF) || errors.As(failed, &network)
}

// logUnanswered logs a request that is closed before an endpoint is asked.
func (s *Service) logUnanswered(incoming *http.Request, route *deployment.Route, arrived time.Time, ending attempt.Ending) {
	caller := s.dialect.ReadRequest(incoming.Header)
	s.log(Observation{
		ID: caller.ID, Route: route.Name, Adapter: caller.Adapter.String(), Reason: string(ending.Reason), Caller: incoming.RemoteAddr,
		Whole: s.options.Now().Sub(arrived),
	})
}

func (s *Service) observe(r *run) {
	observation := Observation{
		ID: r.request.ID, Route: r.request.Route.Name, Service: r.request.Service, Adapter: r.request.Adapter.String(),
		Status: r.answer.status, Reason: string(r.reason), Attempts: r.records, Whole: s.options.Now().Sub(r.request.Arrived),
	}
	if r.answer.status == 0 {
		observation.Caller = r.incoming.RemoteAddr
	}
	if !r.answer.headAt.IsZero() {
		observation.First = r.answer.headAt.Sub(r.request.Arrived)
	}
	s.log(observation)
	s.options.Observe(observation)
}

// loggedBytes bounds each text of a caller's in its log line, in bytes: identifiers are far shorter, and the queue of lines
// holds as many as any caller sends. Longer finds longer identifiers whole, shorter bounds the memory more. Not measured.
const loggedBytes = 256

// shortened cuts a caller's text for the log.
func shortened(text string) string {
	return text[:min(len(text), loggedBytes)]
}

func (s *Service) log(o Observation) {
	level := logrus.InfoLevel
	if o.Reason != "" {
		level = logrus.WarnLevel
	}
	if !s.options.Log.Logger.IsLevelEnabled(level) {
		return
	}
	fields := logrus.Fields{
		"request": shortened(o.ID), "route": o.Route, "service": o.Service, "adapter": shortened(o.Adapter), "status": o.Status, "reason": o.Reason,
		"attempts": o.Attempts, "first_ms": o.First.Milliseconds(), "whole_ms": o.Whole.Milliseconds(),
	}
	if o.Caller != "" {
		fields["caller"] = o.Caller
	}
	s.options.Log.WithFields(fields).Log(level, "request")
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
