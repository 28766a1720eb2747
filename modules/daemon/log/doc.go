// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package log sets up logrus as the one log of a process, for go-zero and gRPC too.
package log
