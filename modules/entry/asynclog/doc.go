// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package asynclog writes log lines without ever blocking who logs. The volume is bounded: lines
// beyond a rate, or beyond what a slow reader takes, are counted and told in one line.
package asynclog
