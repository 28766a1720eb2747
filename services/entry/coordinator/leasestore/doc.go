// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package leasestore carries out the decisions of services/entry/lease in the store: it reads, takes, confirms and rewrites the
// planner's record, and maintains the holder's heartbeat, a key under a short lease.
//
// Each call waits for the store. The package starts no goroutine and stores nothing but the ID of the heartbeat's lease. Failed
// calls are passed to the function Store.Failed.
package leasestore
