// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peerstream carries typed messages between two instances over one TCP connection:
// a length, then the message in MessagePack. Sending never blocks: a peer that does not read
// loses the stream.
package peerstream
