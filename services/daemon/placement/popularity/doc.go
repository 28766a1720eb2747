// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package popularity estimates the request rate of each adapter with two exponentially
// decaying rates of different half-lives.
//
// Each pool's placer has its own estimates. The package starts no goroutines, does not read
// the clock and is not safe for concurrent use.
package popularity
