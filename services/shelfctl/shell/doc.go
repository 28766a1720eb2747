// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shell is what operators see of shelfctl: tables, sentences, errors,
// exit codes, the prompt and the watch mode.
package shell
