// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package traffic simulates the callers of a soak and the platform's load balancer between callers and instances. Callers write HTTP/1.1
// to TCP sockets directly, so that they control when each byte is sent, and keep their connections open as long as possible.
//
// The package owns the callers' connections. It starts one goroutine for each caller and one for each readiness check. The caller of
// Balancer.Run provides the goroutine of the balancer.
package traffic
