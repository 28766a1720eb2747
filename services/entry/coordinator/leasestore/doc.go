// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package leasestore carries out, in the store, what services/entry/lease decides: it reads, takes, confirms and rewrites
// the planner's record, and keeps the holder's heartbeat, a key under a short lease. Each call waits for the store;
// no goroutine is started and nothing but the heartbeat's lease is kept. Failed calls are passed to a function field.
package leasestore
