// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package retry implements the retry budget. Each instance keeps its own share of one budget for the whole fleet, so
// the total stays within the budget without messages between instances.
//
// The package counts requests and retries in the last window. It relies on the settings for the limits and on the
// coordinator for the number of instances. It performs no I/O and starts no goroutine; the current time is an
// argument.
package retry
