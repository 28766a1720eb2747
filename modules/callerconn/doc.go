// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package callerconn keeps callers' HTTP connections for net/http: it ends those that rest for too long, or that a stop finds at rest,
// and keeps account of how many requests were read from each, how many ended with their answer, and who ended the connection why.
//
// A connection rests until the first byte of its next request has been read. Only the goroutine that reads a connection ends its
// rest, by a deadline of that read, so that what was read is always served: an end that is decided beside it closes connections on
// requests that are on their way. Before a rest ends the reader looks once more, since a process that stood still finds the deadline
// over and the request there.
//
// A Listener owns the connections that it accepted until they have ended. It relies on net/http, without an idle time-out of its own,
// to set a read deadline at the begin of a rest and of a head, and on its hooks. It starts no goroutine.
package callerconn
