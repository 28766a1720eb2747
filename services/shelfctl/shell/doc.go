// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shell implements the commands of shelfctl: the output and exit codes of statements, the interactive prompt and
// the watch mode.
//
// It owns the terminal and the history file while the prompt runs. It uses modules/shelfctl/operatorclient to send
// statements to the daemons and starts no goroutines.
package shell
