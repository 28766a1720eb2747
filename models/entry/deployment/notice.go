// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import "time"

// Notice is what an endpoint reports about itself in the headers of an answer.
type Notice struct {
	// Limit is how many requests per second the endpoint accepts from all instances together; nil if it reports none.
	Limit *float64
	// Draining reports whether the endpoint is draining: its incarnation accepts no new work any more.
	Draining bool
	// Brittle is how many requests per second the endpoint, like all of its service, can reject without falling over; nil if it reports none.
	Brittle *float64
	// Rejected reports whether the endpoint rejected the request without a rest, as for want of room.
	Rejected bool
	// Rest is how long the endpoint, which refused the request, asks the instance to send no requests to it; 0 if it asks for no rest.
	Rest time.Duration
}
