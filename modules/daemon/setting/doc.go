// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting reads and checks the daemon's settings, JSON with comments, one
// file a topic. All problems of a settings file are reported at once.
package setting
