// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package node is the control state of one daemon: membership, ownership of
// pools, tickets, the load budget, routing and the followed configuration.
//
// A Node is a plain state machine. Every call takes the present time and gives
// effects, which the control service carries out and answers by further calls.
// The fuzz test joins several nodes by a list of messages and drives the same code.
package node
