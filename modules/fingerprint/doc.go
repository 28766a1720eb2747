// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fingerprint tells whether two requests are the same one, sent again.
//
// It owns what makes them so: method, host, path, adapter and body, and the query where there is no body. What differs from one sending to the
// next does not count, as the request's id and what is left of its time, nor the address from which it comes: a caller comes by way of any
// hall, and from another address each time. It keeps no state and starts no goroutine.
package fingerprint
