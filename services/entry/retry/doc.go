// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retry keeps the budget of retries. Each instance keeps its own part of one
// budget for the whole fleet, so that the sum holds without any message between instances.
//
// It owns the counts of requests and retries in the last window and relies on the settings for the bounds and on the
// coordinator for the number of instances. It does no I/O and starts no goroutine; the present time is an argument.
package retry
