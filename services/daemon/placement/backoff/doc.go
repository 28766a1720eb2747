// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package backoff counts the failed loads of each adapter, says how long the next one
// waits, and when to give an adapter up. Forget drops those that no load was tried of for long.
//
// It owns these counts and relies on nothing. It starts no goroutines, reads no clock and
// is not safe for concurrent use.
package backoff
