// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// Outcome is how an attempt ended for its caller.
type Outcome string

// The outcomes of an attempt.
const (
	// Whole: a whole answer of an endpoint.
	Whole Outcome = "whole"
	// Refused: a status that promises that the request did not run and never will.
	Refused Outcome = "refused"
	// Failed: a whole answer without success that promises nothing.
	Failed Outcome = "failed"
	// Closed: the connection ended without a whole answer.
	Closed Outcome = "closed"
	// Left: the caller closed the connection, by its own plan or since no answer had come in time.
	Left Outcome = "left"
	// Unreached: no connection came about.
	Unreached Outcome = "unreached"
)

// RouteKind is what a route's requests may do.
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

// Attempt is one request as its caller saw it.
type Attempt struct {
	ID       string    `json:"id"`
	Kind     RouteKind `json:"kind"`
	Path     string    `json:"path"`
	Adapter  string    `json:"adapter,omitempty"`
	Instance string    `json:"instance"`
	// Connection is the caller's own address; Use is how many requests were sent on the connection before.
	Connection string `json:"connection"`
	Use        int    `json:"use"`
	// Rested is for how long the connection was idle before, and ClosedBefore that its end had arrived before the first byte was sent.
	Rested       time.Duration `json:"rested"`
	ClosedBefore bool          `json:"closed_before,omitempty"`
	// Began and Sent are when the first and the last byte of the request were written, Ended when the outcome was known.
	Began time.Time `json:"began"`
	Sent  time.Time `json:"sent"`
	Ended time.Time `json:"ended"`
	// Patience is how long the caller said that it would wait.
	Patience time.Duration `json:"patience"`
	Outcome  Outcome       `json:"outcome"`
	Status   int           `json:"status"`
	// Cause is the error of a connection that ended, or the text of a refusal.
	Cause string `json:"cause,omitempty"`
	// Wrong says what was wrong with an answer; empty for none.
	Wrong string `json:"wrong,omitempty"`
	// OnPlan says that the caller left by its own plan.
	OnPlan bool `json:"on_plan,omitempty"`
	// Malformed says that the request was no proper one, by plan.
	Malformed bool `json:"malformed,omitempty"`
}

// Trouble is what a disruption does.
type Trouble string

// The troubles that checks know.
const (
	// Stop is the time from the signal to an instance until its end; Kill, Freeze and Hangup strike instances, too.
	Stop   Trouble = "stop"
	Kill   Trouble = "kill"
	Freeze Trouble = "freeze"
	Hangup Trouble = "hangup"
	// EndpointEnds is the time in which an endpoint is killed, hung or breaks answers off.
	EndpointEnds Trouble = "endpoint-ends"
	// LinkBroken is the time in which connections of an instance's callers, or to an endpoint, are cut or reset from outside.
	LinkBroken Trouble = "link-broken"
	// StoreTroubled is the time in which the store is down, silent or stands still.
	StoreTroubled Trouble = "store-troubled"
	// Configured is a change of the configuration.
	Configured Trouble = "configured"
)

// Disruption is a trouble of one process, as it was carried out.
type Disruption struct {
	Trouble Trouble   `json:"trouble"`
	Target  string    `json:"target"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
}

func (d Disruption) overlaps(from, to time.Time) bool {
	return !d.From.After(to) && !d.To.Before(from)
}

// Departure is an endpoint's leaving, from its acknowledgement on.
type Departure struct {
	Endpoint     string    `json:"endpoint"`
	Acknowledged time.Time `json:"acknowledged"`
}

// Naming is a newer version of an adapter, from its acknowledgement on.
type Naming struct {
	Adapter      string    `json:"adapter"`
	Version      int       `json:"version"`
	Acknowledged time.Time `json:"acknowledged"`
}

// Addition is a route that a configuration added, from its acknowledgement on; Removed is when it was taken out, zero if it never was.
type Addition struct {
	Prefix       string    `json:"prefix"`
	Acknowledged time.Time `json:"acknowledged"`
	Removed      time.Time `json:"removed"`
}

// Limit is a time-out of routes, from when it was sent and acknowledged on, until the next one of the record.
type Limit struct {
	Prefixes     []string      `json:"prefixes"`
	Timeout      time.Duration `json:"timeout"`
	Sent         time.Time     `json:"sent"`
	Acknowledged time.Time     `json:"acknowledged"`
}

// Exit is the end of an instance's process.
type Exit struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	// Asked says that the soak had sent a signal to end it; Took is how long after the first such signal it ended.
	Asked bool          `json:"asked"`
	Took  time.Duration `json:"took"`
	Error string        `json:"error,omitempty"`
	// Lived is for how long the process had run.
	Lived time.Duration `json:"lived"`
}

// Usage is what an instance's process holds once its callers have left.
type Usage struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	// PeakKB is the most memory that it has held.
	PeakKB      int `json:"peak_kb"`
	Descriptors int `json:"descriptors"`
	// CallerSockets is how many of its callers' connections it has not closed.
	CallerSockets int `json:"caller_sockets"`
}

// Crasher is a request that crashes each endpoint which begins to run it, and comes again and again.
type Crasher struct {
	Name  string    `json:"name"`
	Sends []Sending `json:"sends"`
}

// Sending is one time that it came.
type Sending struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
	Status   int       `json:"status"`
}

// Bounds are the times that checks allow, from the settings of the instances.
type Bounds struct {
	Grace, GraceMargin, Drain, Apply, Version, BudgetWindow time.Duration
	// Contact is how long instances may take to know of a third crash, and CrashRetries how often a request may be sent later than that.
	Contact      time.Duration
	CrashRetries int
	// LimitSpan is the span in which requests to an endpoint with a limit are counted, LimitSlack and LimitExtra what is allowed beyond it.
	LimitSpan  time.Duration
	LimitSlack float64
	LimitExtra int
	// Heard is after what time an instance must go by what an endpoint told it, and RestRequests how many requests it may send after that
	// within a rest.
	Heard        time.Duration
	RestRequests int
	RetryRatio   float64
	RetryExtra   int
	// IdleLimit is the shortest idle limit that was in force.
	IdleLimit time.Duration
}

// Record is all that a run saw.
type Record struct {
	Attempts []Attempt
	Runs     []platformstandin.RunEvent
	// Notices are arrivals of requests at endpoints that say something of themselves, and which of them were told.
	Notices     []platformstandin.RunEvent
	Disruptions []Disruption
	Departures  []Departure
	Namings     []Naming
	Additions   []Addition
	Limits      []Limit
	Exits       []Exit
	Crashers    []Crasher
	Usages      []Usage
	Bounds      Bounds
	// Overfull is how many orders went beyond an endpoint's places.
	Overfull int
	// Broken are the promises that endpoints themselves saw broken, such as an adapter that was unloaded in use.
	Broken []string
	// Lag gives by how much the soak's own clock was late at most within a span: what it allows for a starved host.
	Lag func(from, to time.Time) time.Duration
}

// Finding is a promise that was broken.
type Finding struct {
	Check string `json:"check"`
	// Request is the attempt's identifier; empty where none is concerned.
	Request string `json:"request,omitempty"`
	Text    string `json:"text"`
}
