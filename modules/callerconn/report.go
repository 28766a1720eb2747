// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package callerconn

import "net/netip"

// Reason is why a connection ended.
type Reason string

// The reasons for which connections end.
const (
	// ReasonIdleTimeout means that the connection was idle for longer than the idle timeout.
	ReasonIdleTimeout Reason = "idle limit"
	// ReasonShutdown means that the connection was idle when the process shut down, or that the shutdown cut off a request.
	ReasonShutdown Reason = "stopping"
	// ReasonConnectionLimit means that the connection was idle and was ended since too many were open.
	ReasonConnectionLimit Reason = "connection limit"
	// ReasonClosedByCaller means that the caller closed or reset the connection.
	ReasonClosedByCaller Reason = "caller"
	// ReasonAborted means that a handler aborted its response on purpose.
	ReasonAborted Reason = "broken off"
	// ReasonNoRequest means that no complete request header was received, or only a malformed one.
	ReasonNoRequest Reason = "no request"
	// ReasonAfterResponse means that a response announced itself as the last one of the connection.
	ReasonAfterResponse Reason = "after an answer"
)

// Report describes a connection that has ended.
type Report struct {
	Reason Reason
	// Caller is the remote address.
	Caller netip.AddrPort
	// Requests is the number of requests that were read from the connection, Unanswered the number of those without a complete response.
	Requests, Unanswered int
}
