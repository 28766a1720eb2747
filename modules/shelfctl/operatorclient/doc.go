// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operatorclient sends statements to the operators' listeners of several daemons in turn, until one answers.
//
// A Client owns no state but its HTTP client's connections. It relies on the types of routers/daemon/operator for the
// wire and starts no goroutines.
package operatorclient
