// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Result is how one attempt ended, as the log line "request" names it in each of its attempts.
type Result string

// The results of attempts.
const (
	// Finished: the caller has its answer.
	Finished Result = "finished"
	// NotSent: nothing arrived at the endpoint.
	NotSent Result = "not sent"
	// NotRun: the endpoint proved that the request did not run.
	NotRun Result = "not run"
	// Uncertain: the request may have run, and nothing was answered yet.
	Uncertain Result = "uncertain"
	// ServerError: the endpoint answered with an error that may be worth a retry.
	ServerError Result = "server error"
	// TakenBack: the request was taken back from the endpoint, where it had not begun in time; nothing was answered yet. It may have
	// run all the same, since its begin may not have been seen yet, or the endpoint may not drop it.
	TakenBack Result = "taken back"
	// BrokenOff: the answer broke off after its head was passed on.
	BrokenOff Result = "broken off"
)

// Situation is what is known of a request that has no whole answer yet.
type Situation struct {
	// Route is the route that the request matched; from the settings in force when it arrived.
	Route *deployment.Route
	// Deadline is when the request ends whatever happens, see the function Deadline.
	Deadline time.Time
	// Sent is how many endpoints the request was sent to, the present one included; own count.
	Sent int
	// Unreached is how many endpoints nothing could be sent to; own count.
	Unreached int
	// InPlace is how often in a row, without a further event, the request was sent again to the endpoint whose events the caller has; own
	// count.
	InPlace int
	// Refused says that the last attempt's endpoint refused the request; own record.
	Refused bool
	// MayHaveRun says that an attempt ended without proof that the request did not run; own record of all attempts.
	MayHaveRun bool
	// BodyHeld says that the whole body is in memory, so that it can be sent again; own record.
	BodyHeld bool
	// HeadPassed says that the caller has the head of an answer; own record.
	HeadPassed bool
	// EventPassed says that the caller has a whole event with an id, after which its stream can go on; own record.
	EventPassed bool
	// BodyTooLarge says that the body turned out to be larger than the settings allow after some of it was sent; own record.
	BodyTooLarge bool
	// TakenBack says that this instance took the request back from the present endpoint; own record.
	TakenBack bool
	// Silent is for how long the present endpoint has sent nothing; own clock.
	Silent time.Duration
	// CallerLeft says that the caller closed its connection; from the request's own context.
	CallerLeft bool
	// ProcessEnds says that the end of the process cuts the request off; from the cause of its context's end.
	ProcessEnds bool
	// ContextEnded says that the request's own context is over: the caller left or the deadline has passed.
	ContextEnded bool
}

// timedOut reports whether the request's time is over. The connection's own deadline is the same and may end the exchange a
// moment before the context says so.
func (s Situation) timedOut(now time.Time) bool {
	return s.ContextEnded || !now.Before(s.Deadline)
}
