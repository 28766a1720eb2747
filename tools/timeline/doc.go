// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeline keeps what is still to happen in a simulation, in order of time. The replay
// tool, the fuzz test and the capacity benchmarks run on it. It starts no goroutines.
package timeline
