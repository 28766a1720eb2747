// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// Observation is the end of one request, with what decided it.
type Observation struct {
	ID      string
	Route   string
	Service string
	Adapter string
	// Fingerprint names the request whenever it is sent again.
	Fingerprint fingerprint.Fingerprint
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

// Enders gives who ended each attempt that brought no whole answer.
func (o Observation) Enders() []string {
	var enders []string
	for _, record := range o.Attempts {
		if record.Ended != nil {
			enders = append(enders, string(record.Ended.By))
		}
	}
	return enders
}

// EndedItsEndpoint reports whether an endpoint ended while it had the request.
func (o Observation) EndedItsEndpoint() bool {
	return slices.ContainsFunc(o.Attempts, func(record AttemptRecord) bool { return record.Ended != nil && record.Ended.EndpointGone })
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
	// Ended is how an attempt ended that brought no whole answer; nil for others.
	Ended *AttemptEnd `json:"ended,omitempty"`
	// FormerLeftMS is how long a former version was still allowed when an endpoint was chosen that holds none newer,
	// FormerExpectedMS how long the request was expected to wait in its queue; 0 where the named version was there.
	FormerLeftMS     int64 `json:"former_left_ms,omitempty"`
	FormerExpectedMS int64 `json:"former_expected_ms,omitempty"`
	// LimitPerSecond is how many requests a second the endpoint said that it takes from all instances together; nil where it named no limit.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
	// Leaving says that the endpoint said that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// RestMS is for how long the endpoint said that it wants nothing from this instance; 0 where it did not.
	RestMS int64 `json:"rest_ms,omitempty"`
}

// AttemptEnd is how an attempt ended that brought no whole answer: who ended it, and how long the endpoint had sent nothing then.
type AttemptEnd struct {
	By       attempt.Ender `json:"by"`
	SilentMS int64         `json:"silent_ms"`
	// EndpointGone says that the endpoint ended it and refuses connections since.
	EndpointGone bool `json:"endpoint_gone,omitempty"`
}

// observe logs and counts the end of a request that was counted.
func (s *Service) observe(r *run) {
	observation := Observation{
		ID: r.request.ID, Fingerprint: r.request.Fingerprint, Route: r.request.Route.Name, Service: r.request.Service, Adapter: r.request.Adapter.String(),
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

// loggedBytes bounds each text of a caller's in its log line, in bytes: identifiers are far shorter, and the queue of lines holds as many
// as any caller sends. Longer finds longer identifiers whole, shorter bounds the memory more.
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
	if o.EndedItsEndpoint() {
		fields["fingerprint"] = o.Fingerprint.String()
	}
	s.options.Log.WithFields(fields).Log(level, "request")
}

// logUnanswered logs a request that is closed before an endpoint is asked.
func (s *Service) logUnanswered(incoming *http.Request, route *deployment.Route, arrived time.Time, ending attempt.Ending) {
	caller := s.dialect.ReadRequest(incoming.Header)
	s.log(Observation{
		ID: caller.ID, Route: route.Name, Adapter: caller.Adapter.String(), Reason: string(ending.Reason), Caller: incoming.RemoteAddr,
		Whole: s.options.Now().Sub(arrived),
	})
}
