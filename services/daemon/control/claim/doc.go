// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package claim decides, without I/O, what the control goroutine's calls to the key-value service write and what their
// answers mean, for pools whose endpoints check no fences: such a pool is an instance's while a key under its lease stands.
//
// It owns no state and starts no goroutines; services/daemon/control makes the calls, services/daemon/node/lease gives the
// stored form of an owner. Times are the caller's.
package claim
