// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package placement schedules the endpoints of one pool: it decides which adapters occupy
// the slots, which endpoint runs each request, and when to evict an adapter. The instance
// that runs a pool's Placer is called the pool's placer. The entry program makes the same
// decisions in services/entry/loading and services/entry/balance. There, one planner orders
// loads and each instance chooses endpoints itself; here, the placer does both.
//
// A Placer is a state machine without I/O: each call takes the current time and returns
// typed effects, so that the daemon, the replay tool and the fuzz test run the same code.
//
//   - submit.go: admission
//   - dispatch.go, prefix.go: choice of the endpoint for a request
//   - ticket.go: granted tickets and the entries that hold them
//   - demand.go, customer_loads.go, preload.go, bid.go: value of each possible load
//   - place.go, load.go: target slot, eviction and result of a load
//   - inspection.go, endpoint_state.go: reconciliation with the state an endpoint reports
//   - restriction.go: time-limited restrictions on the use of an endpoint
//   - view.go: state reported to other instances and to operators
//
// The state of a pool is kept in Placer and in the packages queue (waiting requests),
// popularity (arrival rates) and backoff (failed loads). State of adapters and customers
// without recent requests is pruned (placer.go). The package starts no goroutines, does not
// read the clock and is not safe for concurrent use.
package placement
