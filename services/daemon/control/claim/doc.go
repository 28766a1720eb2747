// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package claim builds the transactions by which an instance acquires, releases and settles pools whose endpoints check no
// fences, and interprets the answers of the key-value service. An instance owns such a pool while the pool's lease key
// exists under the instance's lease.
//
// The package does no I/O, owns no state and starts no goroutines. services/daemon/control makes the calls, and
// services/daemon/node/lease defines the stored form of an owner. The caller passes in the times.
package claim
