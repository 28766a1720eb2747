// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package placement decides, for the endpoints of one pool, which adapters sit in the
// slots, which endpoint takes each request and when to make room. The instance that runs a
// pool's Placer is called the pool's placer. The entry program decides the same for all its
// endpoints in services/entry/loading and services/entry/balance: there one planner orders
// loads and each instance chooses endpoints itself, here the placer does both.
//
// A Placer is a plain state machine: each call takes the present time and returns typed
// effects, so that the daemon, the replay tool and the fuzz test drive the same code.
//
//   - submit.go: admission
//   - dispatch.go, prefix.go: which endpoint a request gets
//   - ticket.go: what was granted, and to whom
//   - demand.go, customer_loads.go, preload.go, bid.go: which load is worth how much
//   - place.go, load.go: where a load goes, what it evicts, and how it ends
//   - inspection.go, endpoint_state.go: an endpoint's own list against what is known of it
//   - restriction.go: what may not be done on an endpoint, and until when
//   - view.go: what other instances and operators see
//
// It owns this state for one pool and relies on its packages queue (what waits, and in which
// order), popularity (arrival rates) and backoff (failed loads). What nobody has asked for in a long time is forgotten
// (placer.go). It starts no goroutines, reads no clock and is not safe for concurrent use.
package placement
