// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package link provides a TCP proxy on the loopback address that injects network faults: it forwards connections to a target, and delays
// them, holds back their bytes or resets them. A Link owns its listener and the connections through it. It starts one goroutine that
// accepts connections and three goroutines for each connection.
package link
