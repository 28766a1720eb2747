// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package journal stores a daemon's recent events in a ring buffer of fixed size and searches them.
//
// A Journal holds the events in memory only. models/daemon/fleet defines the event type. A Journal starts no goroutines.
package journal
