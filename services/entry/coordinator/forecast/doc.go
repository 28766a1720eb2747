// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package forecast estimates when an adapter that a request waits for will be resident. Admission uses the forecast to refuse a
// request early and to set the time after which its caller may retry.
//
// Expect is the rule; Announcements stores the loads and backlogs that the planner last announced. Both do no I/O and start no
// goroutine; the current time is passed as an argument.
package forecast
