// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package digest holds the state of another hall as received in the digests of that
// hall's speaker (Hall), and the schedule by which the speaker of the own hall sends digests (Schedule).
//
// It owns the last received state of each other hall, the numbers of the received digests, which identify late digests,
// and the send times and the number of the own digests. It relies on
// modules/daemon/ring for the choice of a speaker. The node creates, sends and routes the
// messages. The package starts no goroutines and reads no clock.
package digest
