// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package view has the rules for the views of the planner on both sides: Schedule decides when the planner sends views to its
// members, and PlannerState holds what a member keeps of a view and decides for how long it relies on it.
//
// The age of a view counts from when it was built. PlannerState bounds the transmission delay of a view without comparing two
// clocks, and requests a tighter bound by probes. Schedule and PlannerState belong to the control goroutine; the current time is
// passed as an argument.
package view
