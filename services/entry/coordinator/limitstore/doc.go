// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package limitstore keeps the limits that endpoints report in the store, so that they outlive the loss of all instances.
//
// The limits are one key without a lease, which is written only at the revision that was read. Each call waits for the store. The package keeps
// no state and starts no goroutine.
package limitstore
