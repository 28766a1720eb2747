// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package directory is what one instance knows of the endpoints: their own descriptions, the
// adapters they hold, the requests in flight at each, and how they have behaved.
//
// It owns the rules of ejection (health.go), of avoiding a hall that cannot be reached (reach.go) and of the wait that is expected in
// an endpoint's own queue (wait.go), and decides whether an endpoint holds an adapter (status.go). Endpoints that are gone
// are remembered for a while (directory.go). Descriptions come from the store or the planner's view, offered copies and the
// others' counts from the planner's view, outcomes from this instance's own exchanges. It is a plain state machine of the
// coordinator's control goroutine: it does no I/O, starts no goroutine, and the present time is an argument.
package directory
