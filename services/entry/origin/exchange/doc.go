// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package exchange tells other instances where streams began, and asks them about streams that this instance does not know.
//
// A Service keeps the records of package origin. While one software alone serves it sends nothing. Once several are known, it tells the
// holders of each stream that this instance begins, and all those before that may still be taken up. Messages are single datagrams
// (message.go) that may be lost: more than one holder is told, and a question is repeated to those that are silent.
//
// Start starts two goroutines, which Close ends: runReceiver handles what other instances send, and runTeller tells holders and removes what
// has expired. Find waits in the goroutine of its caller. All methods are safe for concurrent use.
package exchange
