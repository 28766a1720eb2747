// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package link is a loopback link that can be disturbed: it passes TCP connections on to a target, and delays, cuts, silences or
// resets them. A Link owns its listener and the connections through it, and starts two goroutines for each connection.
package link
