// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

// Notice is what an endpoint says of itself in the head of an answer.
type Notice struct {
	// Limit is how many requests a second it takes from all instances together; nil where it names none.
	Limit *float64
	// Leaving says that it takes no new work in this incarnation any more.
	Leaving bool
}
