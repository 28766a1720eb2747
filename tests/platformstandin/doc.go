// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package platformstandin acts out, for the demo and the tests only, what the entry program meets
// outside: the users' platform's store, workers that speak its protocol, with faults that can be
// switched on, and callers. It is not one with standin, which acts out the daemon's surroundings:
// the two differ in every protocol. It leaves out the engines' timing: a stream makes its events at
// a fixed pace whatever else runs. Stores and workers serve in goroutines that end with Close.
package platformstandin
