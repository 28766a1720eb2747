// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package forecast decides when an adapter that a request waits for is expected to be resident. Admission
// refuses a request early, and tells its caller when to come back, by this forecast.
//
// Expect is the rule; Book keeps what the planner last said of its loads. Both are plain state without I/O or
// goroutines; the present time is an argument.
package forecast
