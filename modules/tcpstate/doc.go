// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tcpstate reads the state of a TCP connection from the system, for readers to which the end of a connection means that what they
// read was complete.
//
// The package keeps no state and starts no goroutine. It uses TCP socket options of Linux.
package tcpstate
