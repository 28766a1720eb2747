// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package backoff counts the failed loads of each adapter and decides how long the next load
// is delayed and when requests for the adapter are refused. Prune drops the failures of
// adapters that have not been loaded in a long time.
//
// The package starts no goroutines, does not read the clock and is not safe for concurrent use.
package backoff
