// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerconn manages callers' HTTP connections for net/http. It closes connections that exceed the idle timeout or that are idle
// at a shutdown. For each connection it reports how many requests were read, how many were answered in full, and why the connection ended.
//
// A connection is idle until the first byte of its next request has been read. Only the goroutine that reads a connection closes it while
// it is idle, by the deadline of that read, so that every request that was read is served. Closing from another goroutine would drop
// requests that are being received. Before an idle connection is closed, the read is repeated once: after the process was paused, the
// deadline may have passed although a request has already arrived.
//
// A Listener owns the connections that it accepted until they have ended. It relies on the hooks of net/http, and on net/http, configured
// without an idle timeout, setting a read deadline when a connection becomes idle and when it starts to read a request header. It starts
// no goroutine.
package callerconn
