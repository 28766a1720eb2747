// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package outside runs the stand-ins of the platform's store and endpoints as processes of their own, so that they can be stopped,
// paused and killed, and lets the soak steer them over HTTP.
//
// A child owns its stand-in and the journal of its runs, which it writes line by line, so that a kill loses none. A handle belongs to
// the soak and starts no goroutine.
package outside
