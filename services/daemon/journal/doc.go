// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package journal keeps a daemon's recent events in a bounded ring and finds them again.
//
// A Journal owns the events, in memory only. It relies on models/daemon/fleet for their form, and starts no goroutines.
package journal
