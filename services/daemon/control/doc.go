// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package control runs a daemon's control state. One goroutine owns the node and processes
// typed inputs (input.go). Other goroutines carry out the node's effects on peers, endpoints, the
// key-value service and the platform (executor.go, ownership*.go), and report the results as further inputs.
//
// It owns the node, the channels on which requests wait for their tickets, the byte budget of
// peers' envelopes that wait for the control goroutine, and the catalog that the traffic path
// reads. Failed calls to the platform are logged (failure_log.go). It relies on services/daemon/node
// for every decision, and on claim for the contents of the transactions that acquire, release and settle pools.
//
// Goroutines: Run is the control goroutine and runs on the caller's goroutine. It starts one
// that polls the platform's list, one that makes the lease calls to the key-value service, from
// the first such call on, and a short-lived one for each order to an endpoint and each inspection
// of an endpoint. The follower of the configuration starts its own. Stop ends all of them and waits for them.
package control
