// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerlink sends envelopes between instances over gRPC, with one stream in each direction and msgpack as the codec. Messages may be
// lost: if a peer is not connected or receives too slowly, they are dropped and counted. The queue for each peer is bounded in number, bytes
// and age of its messages, and each send is bounded in time. A receiver ends a stream whose next whole message does not come in time.
//
// The entry program uses modules/entry/peerstream instead: its instances use another protocol, with two kinds of messages over one TCP
// connection, and linking gRPC would cost memory on each of them (docs/design/0001-house-style.md). Links own the server and the streams.
// They start the goroutines of the server, two for each stream from a peer, one for each peer that is sent to, and one for each open stream to a
// peer, which waits for the end of the stream. Close ends them all.
package peerlink
