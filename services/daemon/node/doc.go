// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package node is the control state of one daemon (shelfledged): membership, ownership of
// pools, tickets, the load budget, routing and the followed configuration. The entry
// program's control state is the coordinator's: there one planner decides for all halls,
// here each pool has a placer of its own.
//
// A Node is a plain state machine without I/O. Every call takes the current time and returns
// effects. The control service carries the effects out and reports their results by further
// calls. A message that is lost, delayed or repeated is therefore a call that is missing,
// late or repeated. The fuzz test connects several nodes by an in-memory message list and
// runs the same code.
//
// Terms: the placer of a pool is the instance that assigns the pool's slots and grants its
// tickets; the entry of a request is the instance that accepted it from the caller; the
// speaker of a hall is the instance that exchanges digests with other halls.
//
// The rules are in subpackages. The node passes messages, events and effects between them:
//
//   - ownership: which instance is the placer of a pool; progress of a takeover (ownership.go,
//     handover.go, endpoints.go)
//   - lease: permission to send orders to endpoints without fences; former owners (lease.go)
//   - waiting: waiting requests, grants, tickets in use (requests.go)
//   - digest: state of other halls (digests.go)
//   - loads: bids for load permits (loads.go)
//   - followed: the configuration, and the order in which peers receive it (configuration.go)
//   - listing: the platform's list of instances and leaving endpoints (platform_list.go)
//
// pool.go holds the state of one pool, members.go the heartbeats and the removal of silent
// instances, placer.go the placer's side of requests, view.go the operators' views.
//
// A Node owns this state. It relies on services/daemon/placement (the decisions for one pool),
// services/daemon/membership, services/daemon/routing and services/daemon/budget. It starts
// no goroutines, reads no clock and is not safe for concurrent use.
package node
