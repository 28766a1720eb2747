// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay has the rules by which instances send the operators' keys to each other: Window decides which members the planner
// sends the keys that they lack, and Request which member the planner asks for the keys that it lacks itself. A configuration may
// be as large as the store allows, and a change of it is new to all instances at once, so both rules limit the amount of data in
// transmission.
//
// The package does no I/O. Its state belongs to the control goroutine; the current time is passed as an argument.
package relay
