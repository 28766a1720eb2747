// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package waiting holds the requests that wait for an endpoint and reviews them in the order of their routes' priorities. Its state
// belongs to the control goroutine: it does no I/O, starts no goroutine and reads no clock.
package waiting
