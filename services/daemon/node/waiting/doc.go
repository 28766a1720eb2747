// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package waiting holds the requests of this instance that wait for a ticket (Requests),
// when each is asked for again, whether a grant is used (Judge), and the tickets in use
// (Uses).
//
// It owns these lists and relies on nothing: which pool and placer a request goes to,
// and the messages, are the node's. It starts no goroutines and reads no clock.
package waiting
