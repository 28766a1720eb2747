// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package program pins what users see of the Go programs: settings, flags, exit codes, metrics,
// log lines, and the files of tools/replay. The files under testdata hold it; they name no Go
// identifier, so they stay as they are when code moves. `go test ./tests/pinned/program -update`
// writes them anew, for a change that users are meant to see.
package program
