// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loop runs functions one after the other on one goroutine, so that the state that they share needs no lock. It starts no
// goroutine itself: Run runs the loop on the goroutine of its caller.
package loop
