// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package once claims requests that must run at most once. A claim is a key in the platform's key-value service. It
// prevents other instances, and this instance after a restart, from running the request a second time. Claims that
// arrive at about the same time are written in one transaction.
//
// A Claimer holds the queue of pending claims and the lease that its claims are bound to. The claims themselves are
// stored in the service. The Claimer uses three calls of modules/daemon/kv and depends on their errors to distinguish
// writes that were not done from writes with an unknown outcome. The caller must run Run in a goroutine; the Claimer
// starts no others.
package once
