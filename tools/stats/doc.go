// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package stats sums up measurements for tools, tests and benchmarks.
package stats
