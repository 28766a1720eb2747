// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Result is how an attempt ended, as the log line "request" reports it for each attempt.
type Result string

// The results of attempts.
const (
	// Finished means that the caller has the response.
	Finished Result = "finished"
	// NotSent means that nothing was sent to the endpoint.
	NotSent Result = "not sent"
	// NotRun means that the endpoint proved that the request did not run.
	NotRun Result = "not run"
	// Uncertain means that the request may have run, and that no part of a response was forwarded.
	Uncertain Result = "uncertain"
	// ServerError means that the endpoint responded with an error that may justify a retry.
	ServerError Result = "server error"
	// RefusedWithoutProof means that the endpoint refused with a status that promises callers that the request did not run, but without the
	// proof of it, and that the request must not run again. It may have run.
	RefusedWithoutProof Result = "refused without proof"
	// Recalled means that the request was recalled from the endpoint because it had not started to run in time, and that no part
	// of a response was forwarded. It may have run nevertheless: its start may not have been observed yet, or the endpoint may not
	// drop it.
	Recalled Result = "taken back"
	// Interrupted means that the response was interrupted after its head was forwarded.
	Interrupted Result = "broken off"
)

// Situation is the known state of a request that has no complete response yet.
type Situation struct {
	// Route is the route that the request matched, from the settings in force when it arrived.
	Route *deployment.Route
	// Deadline is when the request ends in any case; see the function Deadline.
	Deadline time.Time
	// Sent is the number of endpoints that the request was sent to, including the current one, as counted by this instance.
	Sent int
	// Unreached is the number of endpoints to which nothing could be sent, as counted by this instance.
	Unreached int
	// InPlace is how many times in a row, without a further event, the request was sent again to the endpoint that sent the caller's
	// events, as counted by this instance.
	InPlace int
	// ServedGone is set if the process of the endpoint that sent the caller's events has ended.
	ServedGone bool
	// Refused is set if the endpoint of the last attempt refused the request.
	Refused bool
	// OwnLimit is set if nothing was sent in the last attempt because of a limit of this instance.
	OwnLimit bool
	// MayHaveRun is set if any attempt ended without proof that the request did not run.
	MayHaveRun bool
	// BodyBuffered is set if the whole body is in memory, so that it can be sent again.
	BodyBuffered bool
	// HeadForwarded is set if the caller has received the head of a response.
	HeadForwarded bool
	// EventForwarded is set if the caller has received a complete event with an id, after which the stream can be resumed.
	EventForwarded bool
	// OnlyInPlace is set if the caller has received events and no other endpoint is known to run the software of the one that sent them, from
	// the endpoints' descriptions.
	OnlyInPlace bool
	// BodyTooLarge is set if the body turned out to be larger than the settings allow after a part of it was sent.
	BodyTooLarge bool
	// Recalled is set if this instance recalled the request from the current endpoint.
	Recalled bool
	// Silent is how long the current endpoint has sent nothing, on this instance's clock.
	Silent time.Duration
	// CallerLeft is set if the caller closed its connection, according to the request's context.
	CallerLeft bool
	// LinkBroken is set if this instance's own link to the current endpoint has failed, so that a failure shows nothing about the
	// endpoint.
	LinkBroken bool
	// ProcessEnds is set if the shutdown of the process aborts the request, according to the cancellation cause of its context.
	ProcessEnds bool
	// ContextEnded is set if the request's context has ended: the caller disconnected or the deadline has passed.
	ContextEnded bool
}

// timedOut reports whether the request's deadline has passed. The connection has the same deadline and may end the exchange a moment
// before the context ends.
func (s Situation) timedOut(now time.Time) bool {
	return s.ContextEnded || !now.Before(s.Deadline)
}
