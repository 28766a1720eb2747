// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream maintains HTTP/1.1 connections to endpoints and sends one request at a time over each. Unlike net/http's transport, it
// never sends a request twice, reports whether any byte was written, bounds the connections per endpoint, and detects an answer to an
// earlier request.
//
// It owns the connections to each incarnation of an endpoint, in use and idle. Package tcp provides connections that are reset when closed.
// The caller must call CloseIdle from time to time to close idle connections, and Retire for endpoints that are gone. For each request with
// a body the package starts one goroutine, which writes the body and ends with the exchange.
package upstream
