// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import "time"

// Notice is what an endpoint says of itself in the head of an answer.
type Notice struct {
	// Limit is how many requests a second it takes from all instances together; nil where it names none.
	Limit *float64
	// Leaving says that it takes no new work in this incarnation any more.
	Leaving bool
	// Rest is for how long it wants nothing from the instance whose request it turned away; 0 where it did not say.
	Rest time.Duration
}
