// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerconn keeps account of callers' HTTP connections: how many requests were read from each, how many ended with their
// answer, and who ended the connection why.
//
// A Listener owns the connections that it accepted until they are closed. It relies on net/http, or who serves the connections in
// its place, to tell the begin and the end of each request, and starts no goroutine.
package callerconn
