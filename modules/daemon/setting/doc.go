// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting reads and validates the daemon's settings file, which is JSON with comments. Each topic of the settings has a source file
// of this package. All problems of a settings file are reported at once, each with its line.
//
// Settings are read once, at the start of the process, and do not change afterwards. The package uses hujson as the parser and starts no
// goroutines.
package setting
