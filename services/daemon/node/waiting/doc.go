// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package waiting holds the requests of this instance that wait for a ticket (Requests) with the
// times at which they are submitted again, the check whether a grant is used (DecideGrant), and the
// tickets in use (TicketUses).
//
// It owns these lists and uses no other service. The node chooses the pool and the placer of a
// request and sends the messages. The package starts no goroutines and reads no clock.
package waiting
