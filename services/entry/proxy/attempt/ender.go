// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt

// Ender says who ended an attempt that brought no whole answer, as the log line "request" names it.
type Ender string

// Who ends attempts.
const (
	// ByEndpoint: the endpoint ended it, or the connection to it failed.
	ByEndpoint Ender = "endpoint"
	// ByCaller: the caller closed its connection, or takes no more of its answer.
	ByCaller Ender = "caller"
	// ByDeadline: the request's deadline came.
	ByDeadline Ender = "deadline"
	// ByProcess: the end of the process cut it off.
	ByProcess Ender = "process"
	// BySuccessor: this instance gave it up for another endpoint, whose answer has begun.
	BySuccessor Ender = "successor"
	// ByFormer: this instance gave it up, since the endpoint that was sent the request before went on.
	ByFormer Ender = "former endpoint"
	// ByTakeBack: this instance took the request back, since it had not begun in time.
	ByTakeBack Ender = "take back"
	// ByBody: the request's body turned out to be too large.
	ByBody Ender = "body"
)
