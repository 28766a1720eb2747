// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tree decides which instances gather the loads of others, and for whom.
//
// It has two rules: by the planner's, it chooses the gatherers of each hall, and by an instance's, it chooses the gatherer of that
// instance. Both are pure functions, so that instances need neither state nor agreement. The package depends only on the names,
// halls and links of instances, does no I/O and starts no goroutine.
package tree
