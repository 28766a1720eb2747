// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeline implements an event queue ordered by time for simulations. The replay tool, the fuzz test and the
// capacity benchmarks use it. It starts no goroutines.
package timeline
