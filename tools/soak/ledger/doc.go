// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ledger holds the record of a soak run, as observed by callers, endpoints and the soak itself, and checks it for violated
// guarantees. Each check is a pure function of the record, without I/O, clock or goroutines, so that a test can insert a fault into a
// record and show that the check finds the fault.
package ledger
