// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

// Ender is what ended an attempt without a complete response, as the log line "request" names it.
type Ender string

// The causes for the end of an attempt.
const (
	// ByEndpoint means that the endpoint ended the attempt, or that the connection to it failed.
	ByEndpoint Ender = "endpoint"
	// ByCaller means that the caller closed its connection, or accepts no more of the response.
	ByCaller Ender = "caller"
	// ByDeadline means that the request's deadline passed.
	ByDeadline Ender = "deadline"
	// ByProcess means that the shutdown of the process aborted the attempt.
	ByProcess Ender = "process"
	// BySuccessor means that this instance gave up the attempt in favor of another endpoint that has started to respond.
	BySuccessor Ender = "successor"
	// ByFormer means that this instance gave up the attempt because the endpoint that was sent the request before continued.
	ByFormer Ender = "former endpoint"
	// ByTakeBack means that this instance took the request back because it had not started to run in time.
	ByTakeBack Ender = "take back"
	// ByBody means that the request's body turned out to be too large.
	ByBody Ender = "body"
)
