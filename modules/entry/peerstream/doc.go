// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerstream exchanges typed messages between two instances over one TCP connection. Each message is sent as its length followed by
// its MessagePack encoding. Sending never blocks: the send queue is bounded in messages and in bytes, and the stream to a peer that does
// not read is closed.
//
// A stream owns its connection. The caller must receive, and close the stream after an error. Each stream starts one goroutine, which
// writes and ends when the stream is closed.
package peerstream
