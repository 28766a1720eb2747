// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerstream carries typed messages between two instances over one TCP connection:
// a length, then the message in MessagePack. Sending never blocks: what waits for a peer is bounded in
// messages and in bytes, and a peer that does not read loses the stream.
//
// It owns the connection that it is given. It relies on its caller to receive, and to close the stream after an error. It
// starts one goroutine a stream, which writes and ends when the stream is closed.
package peerstream
