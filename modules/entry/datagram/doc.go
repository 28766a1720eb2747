// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package datagram sends and receives short messages over UDP, each of them in one datagram that may be lost, doubled or late.
//
// The package starts no goroutine; the caller runs Receive in a goroutine of its own until it closes the socket.
package datagram
