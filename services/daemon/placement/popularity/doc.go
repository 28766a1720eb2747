// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package popularity estimates how often each adapter is asked for, by two rates that
// fade with different half-lives.
//
// It owns the estimates of one pool's placer and relies on nothing. It starts no
// goroutines, reads no clock and is not safe for concurrent use.
package popularity
