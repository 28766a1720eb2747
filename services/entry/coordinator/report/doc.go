// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package report decides what an instance reports to the planner about its requests, and when: Counter counts the requests by
// adapter, and Schedule sets the interval of reports. Both belong to the control goroutine; the current time is passed as an
// argument.
package report
