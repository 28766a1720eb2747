// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stats computes statistics of measurements for tools, tests and benchmarks.
package stats
