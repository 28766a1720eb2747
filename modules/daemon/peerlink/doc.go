// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerlink carries envelopes between instances over gRPC, one stream in
// each direction, with msgpack as the codec. A message may be lost: when a peer
// is not connected, or does not keep up, it is dropped and counted.
package peerlink
