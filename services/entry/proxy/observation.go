// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// Observation describes how one request ended and what led to that.
type Observation struct {
	ID      string
	Route   string
	Service string
	Adapter string
	// Fingerprint identifies the content of the request; a repeated request has the same fingerprint.
	Fingerprint fingerprint.Fingerprint
	// LastEvent and BegunAs are those of the caller's header; empty for a request that takes up no stream.
	LastEvent string
	BegunAs   string
	// Status is 0 if the connection was closed without a response; CallerAddress is then the address of the caller, and empty otherwise.
	Status        int
	CallerAddress string
	// Reason is why the request failed; empty if it succeeded.
	Reason   string
	Attempts []AttemptRecord
	// First is the time from the request's arrival until the head of the response was written, 0 if there was none; Whole is the time
	// until the end of the request.
	First time.Duration
	Whole time.Duration
}

// Waited returns the time spent waiting for endpoints, over all attempts.
func (o Observation) Waited() time.Duration {
	waited := int64(0)
	for _, record := range o.Attempts {
		waited += record.WaitedMS
	}
	return time.Duration(waited) * time.Millisecond
}

// StartRatios returns the start ratio of each attempt that ran and had an expected time.
func (o Observation) StartRatios() []float64 {
	var ratios []float64
	for _, record := range o.Attempts {
		if record.StartRatio > 0 {
			ratios = append(ratios, record.StartRatio)
		}
	}
	return ratios
}

// EndCauses returns what ended each attempt that got no complete response.
func (o Observation) EndCauses() []string {
	var enders []string
	for _, record := range o.Attempts {
		if record.Ended != nil {
			enders = append(enders, string(record.Ended.Cause))
		}
	}
	return enders
}

// CrashedEndpoint reports whether an endpoint's process ended while it had the request.
func (o Observation) CrashedEndpoint() bool {
	return slices.ContainsFunc(o.Attempts, func(record AttemptRecord) bool { return record.Ended != nil && record.Ended.EndpointGone })
}

// AttemptRecord describes one exchange with an endpoint.
type AttemptRecord struct {
	Endpoint deployment.EndpointID `json:"endpoint"`
	// WaitedMS is the time spent waiting for an endpoint, TookMS the duration of the exchange.
	WaitedMS int64 `json:"waited_ms"`
	TookMS   int64 `json:"took_ms"`
	// Result is how the exchange ended; Status is the status code of the endpoint's response, 0 if there was none.
	Result attempt.Result `json:"result"`
	Status int            `json:"status,omitempty"`
	// StartRatio is the time until the request ran at the endpoint, divided by the expected time; 0 if either is unknown. It is not
	// computed from whole milliseconds, which would leave out every request that runs in less than one.
	StartRatio float64 `json:"-"`
	// ExpectedMS is the expected time until the endpoint runs the request, based on the declared prompt lengths; RanAfterMS is the
	// actual time. Both are 0 if unknown.
	ExpectedMS int64 `json:"expected_ms"`
	RanAfterMS int64 `json:"ran_after_ms"`
	// VersionDemanded is the adapter version that the endpoint had to hold, VersionHeld the version that this instance assumed the
	// endpoint to hold when it was chosen; 0 for none. The endpoint's response states only the version of the base model.
	VersionDemanded int64 `json:"version_demanded,omitempty"`
	VersionHeld     int64 `json:"version_held,omitempty"`
	// UntilClose is set if the endpoint's answer had neither a length nor chunks, so that it ended with its connection.
	UntilClose bool `json:"until_close,omitempty"`
	// Via is the address of the instance through which the answer came; not valid for an answer over an own link.
	Via netip.AddrPort `json:"via,omitzero"`
	// Software is the software of the endpoint if only endpoints of one software could run the request.
	Software string `json:"software,omitempty"`
	// Ended is how an attempt without a complete response ended; nil for other attempts.
	Ended *AttemptEnd `json:"ended,omitempty"`
	// FormerLeftMS is for how much longer a former version was allowed when an endpoint was chosen that holds no newer one, and
	// FormerExpectedMS the time that the request was expected to wait in that endpoint's queue; both are 0 if the endpoint held the
	// named version.
	FormerLeftMS     int64 `json:"former_left_ms,omitempty"`
	FormerExpectedMS int64 `json:"former_expected_ms,omitempty"`
	// LimitPerSecond is the number of requests per second that the endpoint reported to accept from all instances together; nil if it
	// reported no limit.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
	// Draining is set if the endpoint announced that it is draining.
	Draining bool `json:"leaving,omitempty"`
	// RestMS is the length of the rest that the endpoint asked this instance for, in which it sends no requests there; 0 if it did not
	// ask.
	RestMS int64 `json:"rest_ms,omitempty"`
}

// AttemptEnd describes how an attempt without a complete response ended: what ended it, and for how long the endpoint had sent
// nothing by then.
type AttemptEnd struct {
	Cause    attempt.EndCause `json:"by"`
	SilentMS int64            `json:"silent_ms"`
	// EndpointGone is set if the endpoint ended the exchange and has refused connections since then.
	EndpointGone bool `json:"endpoint_gone,omitempty"`
}

// observe logs a request that has ended, and passes its observation to Options.Observe.
func (s *Service) observe(r *inflight) {
	observation := Observation{
		ID: r.request.ID, Fingerprint: r.request.Fingerprint, Route: r.request.Route.Name, Service: r.request.Service, Adapter: r.request.Adapter.String(),
		LastEvent: r.caller.LastEvent, BegunAs: r.caller.BegunAs,
		Status: r.response.status, Reason: string(r.reason), Attempts: r.records, Whole: s.options.Now().Sub(r.request.Arrived),
	}
	if r.response.status == 0 {
		observation.CallerAddress = r.incoming.RemoteAddr
	}
	if !r.response.headWrittenAt.IsZero() {
		observation.First = r.response.headWrittenAt.Sub(r.request.Arrived)
	}
	s.log(observation)
	s.options.Observe(observation)
}

// maxLoggedText is the maximum size in bytes of each text in a log line that a caller provides. Usual identifiers are far shorter;
// without the limit, a caller could fill the queue of log lines. A larger size keeps longer identifiers complete; a smaller one
// reduces the memory of the queue.
const maxLoggedText = 256

// truncateForLog truncates a text from a caller to maxLoggedText bytes.
func truncateForLog(text string) string {
	return text[:min(len(text), maxLoggedText)]
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
		"request": truncateForLog(o.ID), "route": o.Route, "service": o.Service, "adapter": truncateForLog(o.Adapter), "status": o.Status, "reason": o.Reason,
		"attempts": o.Attempts, "first_ms": o.First.Milliseconds(), "whole_ms": o.Whole.Milliseconds(),
	}
	if o.CallerAddress != "" {
		fields["caller"] = o.CallerAddress
	}
	if o.LastEvent != "" {
		fields["after_event"], fields["begun_as"] = truncateForLog(o.LastEvent), truncateForLog(o.BegunAs)
	}
	if o.CrashedEndpoint() {
		fields["fingerprint"] = o.Fingerprint.String()
	}
	s.options.Log.WithFields(fields).Log(level, "request")
}

// logAborted logs a request whose connection is closed before an endpoint is chosen.
func (s *Service) logAborted(incoming *http.Request, route *deployment.Route, arrived time.Time, ending attempt.Ending) {
	caller := s.dialect.ReadRequest(incoming.Header)
	s.log(Observation{
		ID: caller.ID, Route: route.Name, Adapter: caller.Adapter.String(), Reason: string(ending.Reason), CallerAddress: incoming.RemoteAddr,
		Whole: s.options.Now().Sub(arrived),
	})
}
