// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package waiting keeps the requests that wait for an endpoint and gives them up for review in the order of their
// routes' priorities. It is plain state of the control goroutine: no I/O, no goroutines, no clock.
package waiting
