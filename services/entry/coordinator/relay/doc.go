// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay has the rules by which instances pass the operators' keys on to each other: Window decides which members the
// planner sends keys that they lack, Request which member the planner asks for keys that it lacks itself. A configuration may
// be as large as the store allows, and a change of it is new to all instances at once, so both rules bound what is under way. It
// is plain state of the control goroutine without I/O; the present time is an argument.
package relay
