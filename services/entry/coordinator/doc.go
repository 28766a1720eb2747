// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package coordinator is the control part of one entry process. One goroutine, the control loop, owns all control
// state: the endpoints, the configuration, requests that wait for an endpoint, the link to the planner, and, while
// this process holds the planner's lease, the plan itself. Requests come in by Acquire, Running and Finish.
//
// The loop calls rules and carries out effects. The rules are in packages without I/O that are given the present time: waiting (the
// queue of requests), forecast (when an adapter is expected), report (what is asked for, and when that is reported), view (which
// views are kept, how old they are and when they are sent), follow (which keys are newer, for how long former versions serve and who
// reads the store), unbegun (which requests must be taken back from their endpoints), relay (how the operators' keys are passed on
// between instances), tree (which instances gather the loads of others), gather (what their sums tell), member (what the planner
// knows of other instances), plan (loads of all services), and services/entry/lease (who may take and use the lease). The packages
// leasestore and seed do I/O for a caller that waits, wire has the messages, loop the control loop itself.
//
// Start starts these goroutines, which hand what they learn to the loop and keep no control state: the loop, one that accepts peers
// and one that closes its listener, two for each peer (one reads, one writes), one each to follow the configuration, the endpoints,
// the planner and the instance that gathers for this one, and one for the lease. One more is started for each order, and one for a
// resignation. All end with Stop.
package coordinator
