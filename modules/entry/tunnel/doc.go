// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tunnel carries connections to endpoints through another instance, for an instance that cannot reach an endpoint over its own
// links.
//
// A tunnel is an HTTP CONNECT request to the other instance, followed by the bytes of the connection in both directions. The other instance
// only copies bytes, so that the first one remains responsible for each request: it alone knows whether a request was sent, and counts it.
// A tunnel leads to an endpoint directly, never through a third instance. Acceptor starts two goroutines for each tunnel; Open starts none.
package tunnel
