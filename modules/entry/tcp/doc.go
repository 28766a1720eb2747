// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tcp opens TCP connections that are reset when closed, so that unsent bytes are discarded.
//
// The caller owns and closes the connections. The package starts no goroutine. It uses TCP socket options of Linux.
package tcp
