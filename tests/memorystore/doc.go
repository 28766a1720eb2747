// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package memorystore is a key-value store in memory for tests of packages that use a store.Client. It has leases and can refuse calls. It
// starts no goroutine; leases end when a call comes after their end.
package memorystore
