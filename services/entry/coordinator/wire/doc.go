// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package wire has the messages that instances send each other over modules/entry/peerstream: a follower's reports, the
// planner's views, a starting instance's request and the name of a successor. Two versions of the program run side
// by side during a rolling restart, so encoded names and the order of fields encoded without names stay; a new
// field needs a zero value that an older instance means by leaving it out.
package wire
