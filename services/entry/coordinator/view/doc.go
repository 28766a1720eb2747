// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package view has the rules of the planner's views on both sides: Schedule decides when the planner tells its
// members something, Followed what a member keeps of a view and for how long it relies on it. Both are plain state of
// the control goroutine; the present time is an argument.
package view
