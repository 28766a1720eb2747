// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package membership keeps an instance's picture of the instances of its hall: who is known, who is alive, who is
// leaving and what each of them holds. One that has been silent for long is forgotten, and not known again from others'
// word while they may still name it.
//
// A State owns that picture; it decides from heartbeats, the platform's list and the present time, all of which its
// caller gives, and does no I/O. It is the control thread's alone (services/daemon/node) and starts no goroutines.
package membership
