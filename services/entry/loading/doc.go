// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loading plans which adapters the endpoints of one service hold: which adapter to load next and where, which
// copy to withdraw and unload, and how many loads run at once within the weight store's rate limit.
//
// A Planner is a plain state machine. Its methods take the current time as an argument and receive endpoints, demand
// and the results of orders; Next returns the next order to send. The planner owns the planned copies (copy.go), the
// state reported by endpoints (reconcile.go), the sequence of each endpoint (sequence.go), the demand of all
// instances (demand.go, burst.go) and the limits on loads (concurrency.go, limiter.go). It relies on the coordinator
// to send its orders, one at a time per endpoint, and on the settings for the rate limit of the weight store. It
// performs no I/O and starts no goroutine.
//
// Invariant: the adapters that an endpoint holds, is loading, or was ordered to load without having refused never
// exceed its places (a place is the room for one adapter) and its memory. No adapter is unloaded while it is loading
// or in use. Both rules hold even if orders, endpoint descriptions in the store, reports or planner takeovers are
// late, lost or reordered. TestInvariantHoldsInExhaustiveSearch searches for violations.
//
// Each rule has its own file: the priority of orders (next.go), base models (model.go), the value of a copy
// (value.go), the demand that only the endpoints of one software satisfy (pinned.go), the choice of an endpoint for a load
// (placement.go), eviction (eviction.go), the expected end of loads (forecast.go), and the handling of replies (result.go).
package loading
