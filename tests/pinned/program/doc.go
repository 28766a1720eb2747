// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package program compares the user-visible interfaces of the Go programs with golden files under
// testdata: settings, flags, exit codes, metrics, log lines, and the files of tools/replay. The
// golden files contain no Go identifiers, so moving code does not change them.
// `go test ./tests/pinned/program -update` rewrites them after an intended change of an interface.
package program
