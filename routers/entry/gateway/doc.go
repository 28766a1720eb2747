// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway serves callers, the load balancer's readiness check and metrics over HTTP, and shuts down gracefully.
//
// It owns the listeners, callers' connections and the state of the shutdown. Its options provide the handler of requests, the readiness of
// the instance and the limits in force. It starts one goroutine for each listener, those of net/http for each connection, and a timer for
// each idle one.
package gateway
