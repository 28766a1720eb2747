// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package evidence keeps in the store which requests, and which parts of prompts, are known to end endpoints, and which services have brittle
// endpoints, so that the loss of all instances does not lose it. There is one key for all instances. The planner writes it, under a condition,
// when that changes, and again each RenewInterval while there is any; each instance reads it once, at its start.
//
// The key has a lease, so that the store forgets what no planner renews. Each call waits for the store, and the package starts no goroutine.
package evidence
