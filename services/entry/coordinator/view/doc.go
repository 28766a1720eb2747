// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package view has the rules of the planner's views on both sides: Schedule decides when the planner tells its
// members something, Followed what a member keeps of a view and for how long it relies on it. A view counts as old from
// when it was made: Followed bounds its delay, the time that it waited on its way, without a comparison of two clocks, and
// asks for a tighter bound by probes. Both are plain state of the control goroutine; the present time is an argument.
package view
