// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package attempt makes the decisions on a request from its arrival to its end: how long each step may take, what the end of an
// attempt at an endpoint means, whether another attempt follows, and the status and reason with which a request without a response
// ends.
//
// The package owns the results of attempts, the reasons in the log line "request" except those of package admission, and the
// time-outs of serving a request. It uses package admission for how long a caller waits without data, and package directory for how
// an exchange counts for its endpoint. It only decides that a retry needs the fleet's budget; package proxy asks for it. The package
// keeps no state, does no I/O and starts no goroutines; the current time is an argument.
package attempt
