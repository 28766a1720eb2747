// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lease holds the rules of ownership for endpoints that check no fences:
// until when this node may order there (Lease), and what it must wait for before
// it unloads anything there after former owners (Succession).
//
// Leases are numbered: a lapse ends the right in all pools, and what is answered
// about an earlier lease counts for nothing.
//
// It owns the times, the lease's number and the list of former owners, and relies on nothing: the
// node asks the key-value service and tells what it answered. It starts no
// goroutines and reads no clock.
package lease
