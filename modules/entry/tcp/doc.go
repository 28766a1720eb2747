// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tcp opens connections whose unsent bytes die with them.
//
// It owns nothing and starts no goroutine; whoever dials closes the connection. It relies on options of TCP that Linux has.
package tcp
