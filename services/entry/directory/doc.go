// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory holds the state of the endpoints as one instance sees it: their descriptions, the adapters they hold, the requests in
// flight at each, and the outcomes of recent exchanges.
//
// It implements ejection (health.go), the avoidance of a hall that cannot be reached (hall_reachability.go), the estimate of the wait in an
// endpoint's own queue (queue_waits.go) and the check whether an endpoint holds an adapter (status.go). Removed endpoints are remembered
// for goneRetention (directory.go). Descriptions come from the store or the planner's view, offered copies and the other instances' counts
// from the planner's view, and outcomes from this instance's own exchanges. The package is a state machine for the coordinator's control
// goroutine: it does no I/O, starts no goroutine and takes the current time as an argument.
package directory
