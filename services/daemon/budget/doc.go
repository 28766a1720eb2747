// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package budget shares the weight store's rate among the pools of all halls: a permit
// goes to the most valuable load first, and a hall that is cut off keeps its own part of
// the rate.
//
// It owns the bids in force and the permits that have not come back, and relies on
// nothing: which instance has the ledger and how bids and permits travel is the node's. It
// starts no goroutines, reads no clock and is not safe for concurrent use.
package budget
