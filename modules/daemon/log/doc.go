// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package log sets up logrus as the one log of a daemon, for go-zero and gRPC too.
//
// The entry program has modules/entry/asynclog in its place: it links neither library, whose lines are half of this
// package, and its log must never block a request, while the daemon's writes where logrus does, on the goroutine that
// logs. New changes the log of go-zero and gRPC for the whole process; the package owns nothing else and starts no
// goroutines.
package log
