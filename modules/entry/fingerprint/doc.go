// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fingerprint tells whether two requests are the same one, sent again.
//
// It owns what makes them so: the caller's address, method, host, target, adapter and body. The headers that differ from one sending to the
// next, as the request's id and what is left of its time, do not count. It keeps no state and starts no goroutine.
package fingerprint
