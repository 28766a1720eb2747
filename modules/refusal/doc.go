// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package refusal probes whether the process at an address has ended.
//
// It distinguishes the end of a process from a reset connection: after the end, the address refuses connections. The package keeps no state
// and starts no goroutine; the caller supplies the functions that open and close connections.
package refusal
