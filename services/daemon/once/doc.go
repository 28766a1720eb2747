// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package once claims requests that must not be repeated, in the platform's key-value service, so that neither another
// instance nor a successor of this one runs them a second time. Claims that come together share one write.
//
// A Claimer owns the claims that wait and the lease that its claims are bound to; the claims themselves are the
// service's. It relies on three calls of modules/daemon/kv and on their telling "not done" from "unknown". Its one
// goroutine is Run's, which the caller starts.
package once
