// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting reads and checks the daemon's settings, JSON with comments, one file a topic. All problems of a
// settings file are reported at once, each with its line.
//
// Settings are read once, at the start, and do not change after. The package relies on hujson for the form and starts
// no goroutines.
package setting
