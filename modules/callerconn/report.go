// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn

import "net/netip"

// Reason is why a connection ended.
type Reason string

// The reasons for which connections end.
const (
	// IdleLimit: it rested for longer than allowed.
	IdleLimit Reason = "idle limit"
	// Stopping: it rested when the process ended, or the end of the process cut a request off.
	Stopping Reason = "stopping"
	// CallerEnded: the caller closed or broke it.
	CallerEnded Reason = "caller"
	// BrokenOff: a handler broke its answer off on purpose.
	BrokenOff Reason = "broken off"
	// NoRequest: no whole head of a request came, or one that cannot be read.
	NoRequest Reason = "no request"
	// AfterAnswer: an answer said that it is the last one.
	AfterAnswer Reason = "after an answer"
)

// Report is the account of a connection that ended.
type Report struct {
	Reason Reason
	// Caller is the other end's address.
	Caller netip.AddrPort
	// Requests is how many requests were read from the connection, Unanswered how many of them ended without a whole answer.
	Requests, Unanswered int
}
