// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock gives the present time on a host that may be suspended.
//
// The steady clock of the runtime stands still while the host is suspended, so that leases, terms, ages and deadlines would come out too young
// when it wakes. A Clock adds that time. It notices a suspension by the time of day, which goes on, and asks the system how long it was, so
// that a step of the time of day changes nothing. Timers of the runtime stand still as well: what is bounded by one is converted (Timer), and
// deadlines that have passed are ended at the first look at the clock after the wake (WithDeadline). It starts no goroutine but timers.
package clock
