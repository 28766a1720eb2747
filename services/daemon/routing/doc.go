// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing chooses, at a request's entry, the pool of endpoints to which the request is sent: a pool where the
// adapter is loaded, or the pool that should load it. Summaries of pools arrive with a delay, so the package also counts
// the requests that were sent to a pool since its last summary.
//
// A Router holds the state of each pool as received in summaries; a Publisher creates the summaries of a pool whose placer
// runs on this instance. A Router and a Publisher may be used only by the control goroutine (services/daemon/node), which
// passes the current time. They do no I/O and start no goroutines.
package routing
