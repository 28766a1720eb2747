// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package upstream keeps HTTP/1.1 connections to endpoints and sends one request at a time
// over each. Unlike net/http's transport it never sends a request twice, tells whether any
// byte was written, bounds the connections of each endpoint, and recognises an answer to
// an earlier request.
package upstream
