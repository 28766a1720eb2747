// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package operatorclient sends operators' statements to daemons. It tries the daemons' operator listeners in turn until
// one answers.
//
// A Client has no state except the connections of its HTTP client. It uses the wire types of routers/daemon/operator
// and starts no goroutines.
package operatorclient
