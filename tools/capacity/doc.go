// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command capacity measures how the cost of each role grows with the size of the
// fleet, each at four or more sizes, and prints the slopes with their errors.
// docs/CAPACITY.md is worked out from what it prints.
package main
