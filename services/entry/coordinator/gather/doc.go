// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gather aggregates the requests in flight of instances: Group the loads that a gatherer receives from the members of its
// group, Sums the sums that the planner receives from the gatherers.
//
// The package decides which loads and sums are still valid. Its results serve the choice of endpoints and the demand for adapters,
// where an error costs only time. No guarantee relies on them: withdrawals, copies in use and keys are decided by each instance's
// own report. The package depends on package wire for the messages, does no I/O and starts no goroutine.
package gather
