// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lease decides which instance may give orders to endpoints.
//
// One record in the store names the holder and a term that only grows. The holder proves by
// linearizable reads that the record is still its own; it may give orders until a fixed time
// after such a read was sent. A successor takes the record by compare-and-swap and waits until
// the former holder's time is surely over, unless that holder released the record or was an
// earlier process of the same instance. No two clocks are compared: each instance measures
// spans on its own monotonic clock.
//
// A Lease is the holder's part, a Candidate that of the others: when one of them takes the record, and for how long a weak
// instance leaves it to others. Both are plain state without I/O that starts no goroutine; the present time is an argument.
package lease
