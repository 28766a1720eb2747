// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package recall tracks the requests that were assigned to endpoints and are not known to have begun there (Requests), with the
// time by which each must have begun. After a newer version of its adapter was named, a request may begin on an older one only
// within a limit, and the queue of an endpoint may hold it for longer. Late requests are recalled by ending their exchange
// (Recall). Requests whose exchange ended otherwise are kept for a while (Requests.Abandon), because not every endpoint drops them.
//
// Requests does no I/O and belongs to the control goroutine; the current time is passed as an argument. A Recall is shared with the
// goroutine that serves the request and is safe for concurrent use. The package starts no goroutine.
package recall
