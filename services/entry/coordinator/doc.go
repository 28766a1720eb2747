// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package coordinator is the control part of one entry process. One goroutine, the control loop, owns all control
// state: the endpoints, the configuration, the requests that wait for an endpoint, the link to the planner, and, while
// this process holds the planner's lease, the plan itself. Callers pass requests in with Acquire, MarkRunning and Finish.
//
// The planner is the instance that holds the lease record in the store. It decides which adapters the endpoints load,
// and sends them orders. The other instances are its members: they send it reports, and it sends them views. In a
// large fleet it names some members as gatherers, which sum the load of other members and forward views to them.
//
// Terms of this package:
//
//   - record: the lease record in the store, with the planner's name, address and term
//   - operators' keys: the keys in the store that hold the configuration and name the version of each adapter
//   - named version, former version: the version that operators named for an adapter, and any older one
//   - copy: an adapter that is resident at an endpoint
//   - withdrawal: the planner's announcement in a view that it will unload a copy, which members acknowledge in reports
//   - snapshot: a view with the complete state, where other views contain the changes since the last one
//   - heartbeat: a periodic view with the requests in flight of all instances
//   - bare view: a view with keys or the answer to a probe for a member to which a gatherer forwards all other views
//   - seed: a peer that is asked for the configuration and the planner while the store does not answer
//
// The loop evaluates rules and carries out their effects. The rules are in packages without I/O that receive the
// present time as a parameter:
//
//   - waiting: the queue of requests
//   - forecast: when an adapter is expected to be loaded
//   - report: the demand for adapters, and when it is reported
//   - view: which views are accepted, how old they are and when they are sent
//   - follow: which keys are newer, for how long former versions serve, and which instance reads the store
//   - recall: which requests must be recalled from their endpoints
//   - relay: how the operators' keys are passed on between instances
//   - tree: which instances are gatherers
//   - gather: the sums of the gatherers
//   - member: the planner's state of other instances
//   - plan: the loads of all services
//   - services/entry/lease: which instance may take and use the lease
//
// The packages leasestore and seed do I/O for a caller that blocks. The package wire contains the messages, and the
// package loop the control loop itself.
//
// Start starts the following goroutines. They pass their results to the loop and keep no control state: the loop, one
// that accepts peers and one that closes its listener, two for each peer (a reader and a writer), one each to follow
// the configuration, the endpoints, the planner and the instance that gathers for this one, and one for the lease.
// Another goroutine is started for each order and for a resignation. Stop ends them all.
package coordinator
