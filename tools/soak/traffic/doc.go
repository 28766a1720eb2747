// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package traffic plays the callers of a soak and the platform's balancer before them. Callers speak HTTP/1.1 on sockets of their own,
// so that they decide byte by byte what is sent when, and keep their connections for as long as they can.
//
// It owns callers' connections and starts one goroutine for each caller and one for the balancer.
package traffic
