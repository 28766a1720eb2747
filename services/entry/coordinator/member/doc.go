// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package member is what the planner knows of the instances that report to it: their links, what they have in
// flight, which endpoints they find bad, and whether they are lost. A Table sums the members up for the plan. It is
// plain state of the control goroutine that starts nothing; the present time is an argument. Links are held only,
// sending is the coordinator's.
package member
