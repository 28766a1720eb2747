// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package limit keeps all instances together within the number of requests per second that an endpoint accepts.
//
// ReportedLimit is a limit that an endpoint reports in its responses; a tokenBucket limits requests to a rate. The planner has an
// Allocator, which grants the requests that each limit allows to the instances with demand. Each instance has an Allowance per endpoint,
// which holds the requests granted to the instance, or its own share of the limit while no planner allocates it. All types are plain
// state of the control goroutine; the current time is an argument.
package limit
