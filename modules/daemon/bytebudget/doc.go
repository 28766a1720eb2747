// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package bytebudget bounds the number of bytes that are held in memory at a time. A caller acquires bytes before it holds them, and
// waits until enough are free. Waiting callers are served first come, first served. The package starts no goroutines and reads no clock.
package bytebudget
