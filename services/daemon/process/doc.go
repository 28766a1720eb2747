// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package process puts a daemon together from its settings, runs it and stops it without cutting off what is in flight.
//
// A Daemon owns the listeners and the life of all other parts. Its goroutines: the control thread, the claimer, and one
// server each for callers and operators; the parts' own are named in their packages.
package process
