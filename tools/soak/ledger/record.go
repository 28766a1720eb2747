// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// Outcome is the result of an attempt for its caller.
type Outcome string

// The outcomes of an attempt.
const (
	// Whole is a complete successful answer of an endpoint.
	Whole Outcome = "whole"
	// Refused is an answer whose status guarantees that the request did not run and will not run.
	Refused Outcome = "refused"
	// Failed is a complete unsuccessful answer that leaves open whether the request ran.
	Failed Outcome = "failed"
	// Closed means that the connection ended before the complete answer had arrived.
	Closed Outcome = "closed"
	// Abandoned means that the caller closed the connection, as planned or because no answer had arrived in time.
	Abandoned Outcome = "left"
	// Unreached means that no connection could be opened.
	Unreached Outcome = "unreached"
)

// RouteKind is the kind of a route. It determines whether the route's requests may run more than once or be resumed.
type RouteKind string

// The kinds of route.
const (
	Streaming RouteKind = "streaming"
	Resumable RouteKind = "resumable"
	Unsafe    RouteKind = "unsafe"
	Safe      RouteKind = "safe"
)

// RunsOnce reports whether a request of the kind may run at most once.
func (k RouteKind) RunsOnce() bool {
	return k == Streaming || k == Unsafe
}

// Framing is how an answer tells its caller where it ends.
type Framing string

// The framings of an answer.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close"
)

// Attempt is one request as observed by its caller.
type Attempt struct {
	ID       string    `json:"id"`
	Kind     RouteKind `json:"kind"`
	Path     string    `json:"path"`
	Adapter  string    `json:"adapter,omitempty"`
	Instance string    `json:"instance"`
	// Connection is the local address of the caller. Use is the number of earlier requests on the connection.
	Connection string `json:"connection"`
	Use        int    `json:"use"`
	// IdleTime is how long the connection had been idle. ClosedBefore reports whether the instance's close of the connection had arrived
	// before the first byte of the request was sent.
	IdleTime     time.Duration `json:"rested"`
	ClosedBefore bool          `json:"closed_before,omitempty"`
	// Began and Sent are when the first and the last byte of the request were written. Ended is when the outcome was known.
	Began time.Time `json:"began"`
	Sent  time.Time `json:"sent"`
	Ended time.Time `json:"ended"`
	// Timeout is the time-out that the caller sent with the request.
	Timeout time.Duration `json:"patience"`
	Outcome Outcome       `json:"outcome"`
	Status  int           `json:"status"`
	// Cause is the error of a connection that ended, or the body of an answer without success.
	Cause string `json:"cause,omitempty"`
	// Defect describes the error in the content of an answer. It is empty for a correct answer.
	Defect string `json:"wrong,omitempty"`
	// Framing is the framing of the answer. EndsEarly reports whether the answer is a stream that ends between two events.
	Framing   Framing `json:"framing,omitempty"`
	EndsEarly bool    `json:"ends_early,omitempty"`
	// Stream is the ID of the first try of a stream that its caller takes up where it breaks; empty for other requests. LastEvent is the last
	// event that the caller had before this try, Events is how many whole events the try brought, and Software are the software versions of
	// the endpoints that made them.
	Stream    string   `json:"stream,omitempty"`
	LastEvent int      `json:"last_event,omitempty"`
	Events    int      `json:"events,omitempty"`
	Software  []string `json:"software,omitempty"`
	// PlannedClose reports whether the caller closed the connection as planned.
	PlannedClose bool `json:"on_plan,omitempty"`
	// Malformed reports whether the request was deliberately malformed.
	Malformed bool `json:"malformed,omitempty"`
}

// Fault is the kind of a disruption.
type Fault string

// The kinds of disruption that the checks take into account.
const (
	// Stop lasts from the stop signal to an instance until the instance has ended. Kill, Freeze and Hangup affect instances, too.
	Stop   Fault = "stop"
	Kill   Fault = "kill"
	Freeze Fault = "freeze"
	Hangup Fault = "hangup"
	// EndpointEnds is the time in which an endpoint is killed, hangs or breaks off answers.
	EndpointEnds Fault = "endpoint-ends"
	// LinkBroken is the time in which the connections between callers and an instance, or to an endpoint, are cut or reset by the soak.
	LinkBroken Fault = "link-broken"
	// StoreFault is the time in which the store is down, silent or frozen. With an empty target it affects the store itself, else
	// the store link of the instance that is the target.
	StoreFault Fault = "store-troubled"
	// HerdKill is the kill of several instances at the same moment. Each of them has a Kill as well.
	HerdKill Fault = "herd-kill"
	// Configured is a change of the configuration.
	Configured Fault = "configured"
)

// Disruption is a fault that was injected into one process or its links.
type Disruption struct {
	Fault  Fault     `json:"trouble"`
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
}

func (d Disruption) overlaps(from, to time.Time) bool {
	return !d.From.After(to) && !d.To.Before(from)
}

// Departure is the announced departure of an endpoint and the time at which the store acknowledged it.
type Departure struct {
	Endpoint     string    `json:"endpoint"`
	Acknowledged time.Time `json:"acknowledged"`
}

// EndpointSpan is the time in which an endpoint served streams. To is zero for an endpoint that served until the end of the run.
type EndpointSpan struct {
	Endpoint string    `json:"endpoint"`
	Software string    `json:"software"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
}

// Naming is a newer version of an adapter and the time at which the store acknowledged it.
type Naming struct {
	Adapter      string    `json:"adapter"`
	Version      int       `json:"version"`
	Acknowledged time.Time `json:"acknowledged"`
}

// Addition is a route that a configuration added and the time at which the store acknowledged that configuration. Removed is when the
// route was removed; it is zero if the route was not removed.
type Addition struct {
	Prefix       string    `json:"prefix"`
	Acknowledged time.Time `json:"acknowledged"`
	Removed      time.Time `json:"removed"`
}

// Limit is a time-out of routes, with the times at which it was sent to the store and acknowledged. It is in force until the next
// Limit of the record.
type Limit struct {
	Prefixes     []string      `json:"prefixes"`
	Timeout      time.Duration `json:"timeout"`
	Sent         time.Time     `json:"sent"`
	Acknowledged time.Time     `json:"acknowledged"`
}

// Exit is the exit of an instance's process.
type Exit struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	// Requested reports whether the soak had sent a signal to end the process. StopTime is the time from the first such signal to the
	// exit.
	Requested bool          `json:"asked"`
	StopTime  time.Duration `json:"took"`
	Error     string        `json:"error,omitempty"`
	// Lifetime is how long the process had run.
	Lifetime time.Duration `json:"lived"`
}

// Usage is the resource usage of an instance's process after its callers have left.
type Usage struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	// PeakKB is the peak resident memory of the process in KB.
	PeakKB      int `json:"peak_kb"`
	Descriptors int `json:"descriptors"`
	// CallerSockets is the number of callers' connections that the process has not closed.
	CallerSockets int `json:"caller_sockets"`
}

// Crasher is a request that crashes each endpoint which begins to run it and that its callers send repeatedly.
type Crasher struct {
	Name  string    `json:"name"`
	Sends []Sending `json:"sends"`
}

// Sending is one sending of a Crasher.
type Sending struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Status   int       `json:"status"`
}

// Bounds are the limits that the checks apply, from the settings of the instances.
type Bounds struct {
	Grace, GraceMargin, Drain, Apply, Version, BudgetWindow time.Duration
	// Contact is how long the instances may take to learn of the third crash of a request. CrashRetries is how often the request may
	// still be sent to endpoints after that time.
	Contact      time.Duration
	CrashRetries int
	// LimitSpan is the span in which the requests to an endpoint with a limit are counted. LimitSlack is the factor and LimitExtra the
	// number of requests by which the count may exceed the limit.
	LimitSpan  time.Duration
	LimitSlack float64
	LimitExtra int
	// NoticeApply is the time after which an instance must comply with the notice that an endpoint sent it. RestRequests is how many requests
	// the instance may send after that time within a rest.
	NoticeApply  time.Duration
	RestRequests int
	RetryRatio   float64
	RetryExtra   int
	// MemoryKB is how much memory an instance may take; 0 means that it is not checked.
	MemoryKB int
	// IdleLimit is the shortest idle limit that was in force during the run.
	IdleLimit time.Duration
}

// Record holds the observations of a run.
type Record struct {
	Attempts []Attempt
	Runs     []platformstandin.RunEvent
	// Notices are the arrivals of requests at endpoints that send notices, and the answers in which the notices were sent.
	Notices     []platformstandin.RunEvent
	Disruptions []Disruption
	Departures  []Departure
	// Endpoints are the endpoints that serve streams.
	Endpoints []EndpointSpan
	Namings   []Naming
	Additions []Addition
	Limits    []Limit
	Exits     []Exit
	Crashers  []Crasher
	Usages    []Usage
	Bounds    Bounds
	// Overfull is the number of orders that exceeded the places of their endpoint.
	Overfull int
	// EndpointViolations are the violations that endpoints detected themselves, such as the unload of an adapter in use.
	EndpointViolations []string
	// Lag returns the longest scheduling delay of the soak itself within a span. The checks extend their bounds by this delay to allow
	// for an overloaded host.
	Lag func(from, to time.Time) time.Duration
}

// Finding is a violated guarantee.
type Finding struct {
	Check string `json:"check"`
	// Request is the identifier of the attempt. It is empty if the finding does not concern a single attempt.
	Request string `json:"request,omitempty"`
	Text    string `json:"text"`
}
