// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock provides the current time on a host that may be suspended.
//
// The monotonic clock of the Go runtime stops while the host is suspended, so that leases, terms, ages and deadlines would be too young
// after the host resumes. A Clock adds the time of the suspension. It detects a suspension by the wall clock, which goes on, and reads the
// duration from the system, so that a step of the wall clock is not counted. Timers of the runtime stop as well: TimerTime converts a time
// of the Clock to one for a runtime timer, and the contexts of WithDeadline whose deadline has passed are cancelled at the first call of
// Now after the host resumed. The package starts timers, but no other goroutine.
package clock
