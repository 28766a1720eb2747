// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lease decides which instance may send orders to endpoints.
//
// One record in the store names the holder of the lease and a term that only increases. The holder proves by
// linearizable reads that the record is still its own, and it may send orders until a fixed time after such a read
// was sent. A successor takes the record by compare-and-swap. It then waits until the former holder can no longer
// send orders, unless that holder released the record or was an earlier process of the same instance. No clocks of
// two instances are compared: each instance measures time spans on its own monotonic clock.
//
// A Lease is the holder's state. A Candidate is the state of the other instances: it decides when one of them takes
// the record, and for how long an instance with a takeover delay (see Observation.TakeoverDelay) defers to others. Both are plain state
// without I/O that starts no goroutine; the current time is an argument.
package lease
