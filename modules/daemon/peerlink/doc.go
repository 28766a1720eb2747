// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerlink carries envelopes between instances over gRPC, one stream in each direction, with msgpack as the
// codec. A message may be lost: when a peer is not connected, or does not keep up, it is dropped and counted. What waits for
// a peer is bounded in number, bytes and age, and so is the time of one send.
//
// The entry program has modules/entry/peerstream in its place: its instances speak another protocol, two kinds of
// messages over one TCP connection, and gRPC linked in would cost memory on each of them
// (docs/design/0001-house-style.md). Links own the server and the streams. Goroutines: the server's own, one for each
// peer that is sent to, and one for each open stream to it that waits for its end; Close ends them all.
package peerlink
