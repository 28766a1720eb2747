// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gather merges what instances have in flight: Group the loads that an instance gathers for others, Sums what the planner
// hears from those that gather.
//
// It owns which loads and sums still count. What it gives serves the choice of endpoints and the demand for adapters, where an error
// costs time; no promise rests on it: withdrawals, copies in use and keys go by each instance's own report. It relies on package wire
// for the messages, does no I/O and starts no goroutine.
package gather
