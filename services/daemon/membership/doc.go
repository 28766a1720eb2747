// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package membership maintains an instance's view of the instances in its hall: which instances are known, alive or
// leaving, and which pools each of them places. An instance without heartbeats for a long time is forgotten. It is not
// added again from the lists of other instances while these may still contain it.
//
// A State holds this view and derives it from heartbeats, the platform's list of instances and the current time, which
// the caller passes in. It performs no I/O and starts no goroutines. Only the control goroutine uses it
// (services/daemon/node).
package membership
