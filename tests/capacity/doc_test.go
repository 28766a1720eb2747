// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package capacity_test measures how the cost of each role grows with the size of the fleet, each
// at four sizes, with the slope and its error. `make capacity` runs it; the table of slopes in
// docs/capacity-shelfledged.md is copied from what it prints. Of the entry program it measures what each state that grows takes of
// the memory (the files entry_*_test.go), for "What grows in a process" in docs/CAPACITY.md.
package capacity_test
