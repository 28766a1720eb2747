// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import "time"

// Notice is what an endpoint reports about itself in the headers of an answer.
type Notice struct {
	// Limit is how many requests per second the endpoint accepts from all instances together; nil if it reports none.
	Limit *float64
	// Leaving reports whether the endpoint accepts no more new work in this incarnation.
	Leaving bool
	// Rest is how long the endpoint asks the instance whose request it refused to send it nothing; 0 if it reports none.
	Rest time.Duration
}
