// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fingerprint identifies requests that are repetitions of the same request.
//
// Two requests have the same fingerprint if they agree in method, host, path, adapter and body, and, if they have no body, in the query.
// Values that differ between repetitions are left out: the request ID, the remaining time, and the address of the caller, since a caller
// may use any hall, with another address each time. The package keeps no state and starts no goroutine.
package fingerprint
