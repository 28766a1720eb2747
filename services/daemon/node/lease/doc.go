// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lease holds the rules of ownership for endpoints that check no fences:
// until when this node may send orders to them (Lease), and how long it must wait for
// former owners before it unloads anything from them (Succession).
//
// Leases are numbered. When a lease lapses, the node may no longer send orders in any pool,
// and answers about a lease with a lower number are ignored.
//
// The package owns the times, the lease's number and the list of former owners, and uses no other
// package: the node calls the key-value service and passes the answers in. It starts no
// goroutines and reads no clock.
package lease
