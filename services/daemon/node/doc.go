// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package node is the control state of one daemon (shelfledged): membership, ownership of
// pools, tickets, the load budget, routing and the followed configuration. The entry
// program's control state is the coordinator's: there one planner decides for all halls,
// here each pool has a placer of its own.
//
// A Node is a plain state machine. Every call takes the present time and gives effects,
// which the control service carries out and answers by further calls; a message that is
// lost, late or repeated is one of these calls that does not come, comes late or comes
// again. The fuzz test joins several nodes by a list of messages and drives the same code.
//
// The rules are in packages of their own, and the node carries messages, notes and
// effects between them:
//
//   - ownership: which instance places a pool; progress of a takeover (ownership.go,
//     handover.go, endpoints.go)
//   - lease: the right to order on endpoints without fences; former owners (lease.go)
//   - waiting: requests that wait, grants, tickets in use (requests.go)
//   - digest: other halls (digests.go)
//   - loads: bids for load permits (loads.go)
//   - followed: the configuration, and whose turn it is to get it from here (configuration.go)
//   - listing: the platform's list (listed.go)
//
// pool.go has the state of one pool, members.go the heartbeats and which instances are forgotten, placing.go what a pool's
// placer does for other instances, view.go what operators see.
//
// It owns this state and relies on services/daemon/placement (the decisions for one pool),
// services/daemon/membership, services/daemon/routing and services/daemon/budget. It starts
// no goroutines, reads no clock and is not safe for concurrent use.
package node
