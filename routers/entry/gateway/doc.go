// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package gateway serves callers, the balancer's question for readiness and metrics over HTTP,
// and ends without cutting off what is under way.
//
// It owns the listeners, callers' connections and the state of a stop. It relies on its options for the handler of requests, for
// whether the instance is ready and for the limits in force. It starts one goroutine for each listener, those of net/http for
// each connection, and a timer for each idle one.
package gateway
