// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package member holds the planner's state of the instances that report to it: their links, their requests in flight, the endpoints
// that they suspect, and whether they are lost. A Table aggregates the members for the plan.
//
// The state belongs to the control goroutine and starts no goroutine; the current time is passed as an argument. A Table stores the
// links; the coordinator sends the views over them.
package member
