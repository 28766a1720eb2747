// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tree decides which instances gather the loads of other instances, and of which ones.
//
// Gatherers, which the planner calls, chooses the gatherers of each hall. GathererOf, which each instance calls, chooses the
// gatherer of that instance. They are pure functions, so that instances need no shared state and no messages to agree on the
// result. The package depends only on the names, halls and links of instances, does no I/O and starts no goroutine.
package tree
