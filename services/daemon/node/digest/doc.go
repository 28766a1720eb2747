// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package digest holds what a node knows of another hall through the digests of that
// hall's speaker (Hall), and when its own hall's speaker sends digests (Schedule).
//
// It owns each other hall's last account, the numbers of the digests heard, by which late ones are told, and the times
// and number of the own digests. It relies on
// modules/daemon/ring for the choice of a speaker; the node makes, sends and routes the
// messages. It starts no goroutines and reads no clock.
package digest
