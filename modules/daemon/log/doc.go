// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package log sets up logrus as the log of a daemon, including the log lines of go-zero and gRPC.
//
// The entry program uses modules/entry/asynclog instead: it links neither library, and its log must never block a request, while the daemon
// writes log lines synchronously, on the goroutine that logs. New redirects the logs of go-zero and gRPC for the whole process. The package
// owns no other state and starts no goroutines.
package log
