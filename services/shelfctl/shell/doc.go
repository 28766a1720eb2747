// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shell is the inside of shelfctl: how answers are printed and turned into exit codes, the prompt and the watch
// mode.
//
// It owns the prompt's terminal and history while the prompt runs, relies on modules/shelfctl/operatorclient for the
// daemons, and starts no goroutines.
package shell
