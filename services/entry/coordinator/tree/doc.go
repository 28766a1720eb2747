// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tree decides which instances gather the loads of others, and for whom.
//
// It owns two rules: the planner's, which instances of each hall gather, and an instance's, which of them gathers for it. Both are
// functions of what they are given, so that nothing has to be agreed or kept. It relies on nothing but the names, halls and links of
// instances, does no I/O and starts no goroutine.
package tree
