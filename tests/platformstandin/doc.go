// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platformstandin emulates the users' platform for tests and the demo: its store, and
// workers that speak its protocol, with faults that can be switched on. It leaves out the
// engines' timing: a stream makes its events at a fixed pace whatever else runs.
package platformstandin
