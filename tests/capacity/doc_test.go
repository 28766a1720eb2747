// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package capacity_test measures how the cost of each role of the daemon grows with the size of the fleet. Each cost is measured at four
// sizes and reported with the slope of the fitted line and its greatest deviation. `make capacity` runs the benchmarks; the table of
// slopes in docs/capacity-shelfledged.md is copied from their output. The files entry_*_test.go measure the memory that each growing
// state of the entry program uses, for the section "What grows in a process" in docs/CAPACITY.md.
package capacity_test
