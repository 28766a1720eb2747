// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package asynclog writes log lines without ever blocking who logs. The volume is bounded: lines
// beyond a rate, or beyond what a slow reader takes in number or in bytes, are counted and reported in one line.
//
// It owns the queue of lines. It relies on its caller for the output and the form of lines, and starts one goroutine a writer,
// which ends with Close.
//
// The daemon has modules/daemon/log in its place, which takes in the logs of go-zero and gRPC and so links both, while the
// entry program links neither and may not wait for the reader of its log.
package asynclog
