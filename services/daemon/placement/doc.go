// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package placement decides, for the endpoints of one pool, which adapters sit
// in the slots, which endpoint takes each request and when to make room.
//
// A Placer is a plain state machine: each call takes the present time and
// returns typed effects; it starts nothing and reads no clock, so that the
// daemon, the replay tool and the fuzz test drive the same code.
package placement
