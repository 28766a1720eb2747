// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package budget divides the load rate of the weight store among the pools of all halls. The
// most valuable load gets the next permit, and a hall that is cut off from the others keeps
// its own share of the rate.
//
// The ledger holds the current bids and the outstanding permits. Package node decides which
// instance runs the ledger, and transmits bids and permits. The package starts no goroutines,
// does not read the clock and is not safe for concurrent use.
package budget
