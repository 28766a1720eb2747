// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger holds what callers, endpoints and the soak itself saw, and judges it: each check is a function of the record, without
// I/O, clock or goroutines, so that a record with a fault put in shows that the check finds it.
package ledger
