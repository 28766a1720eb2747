// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package attempt decides the way of one request from its arrival to its end: how long each step may take, what the end of
// an attempt at an endpoint means, whether another attempt follows, and with which status and reason a request ends
// that got no answer.
//
// It owns the results of attempts and the reasons that the log line "request" gives, but for those of package admission,
// and the time-outs of the request's path. It relies on package admission for how long a caller waits without data and on
// package directory for how an exchange counts for its endpoint; whether the fleet's budget grants a retry is asked by
// package proxy, where this package says that it decides. It keeps no state, does no I/O and starts no goroutine; the
// present time is an argument.
package attempt
