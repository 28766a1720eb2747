// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package report decides what an instance reports to the planner of its requests and when: Counter keeps who asked for
// which adapter, Schedule the pace of reports. Both are plain state of the control goroutine; the present time is an
// argument.
package report
