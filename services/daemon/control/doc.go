// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package control runs a daemon's control state: one goroutine owns the node and takes
// typed inputs (input.go); others carry out its effects towards peers, endpoints, the
// key-value service and the platform (executor.go, owner*.go), and answer by further inputs.
//
// It owns the node, the channels on which requests wait for their tickets, the room for
// peers' envelopes that wait for the control goroutine, and the catalog that the traffic
// reads. Calls to the platform that fail are logged (failure_log.go). It relies on services/daemon/node for every decision,
// and on claim for what the calls that own pools write and what their answers mean.
//
// Goroutines: Run is the control goroutine, on the caller's own. It starts one that polls
// the platform's list, one that makes the calls for leases at the key-value service, from
// the first such call on, and a short one for each order to an endpoint and each reading
// of its list. The follower of the configuration starts its own. Stop ends and awaits them.
package control
