// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream keeps HTTP/1.1 connections to endpoints and sends one request at a time
// over each. Unlike net/http's transport it never sends a request twice, reports whether any
// byte was written, bounds the connections of each endpoint, and recognises an answer to
// an earlier request.
//
// It owns the connections to each incarnation of an endpoint, in use and idle. It relies on package tcp for connections that
// are reset when closed, and on its caller to close idle ones from time to time (CloseIdle) and those of endpoints that are
// gone (Retire). It starts one goroutine for each request with a body, which writes it and ends with the exchange.
package upstream
