// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Fields of the lines that tell what an endpoint says of itself.
const (
	fieldEndpoint = "endpoint"
	fieldService  = "service"
)

// Heard takes in what an endpoint says of itself in the answer to a request that was sent at a time. It holds for the incarnation that was
// asked alone.
func (c *Coordinator) Heard(assignment Assignment, sent time.Time, notice deployment.Notice) {
	if notice == (deployment.Notice{}) && c.limited.Load() == 0 {
		return
	}
	c.loop.Post(func(now time.Time) {
		if !c.stillKnown(assignment) {
			return
		}
		status := assignment.status
		c.noteLimit(now, status, status.Allowance.ObserveResponse(now, sent, notice.Limit), sent)
		if notice.Leaving {
			c.noteLeaving(now, status, "answer")
		}
		if notice.Rest > 0 {
			c.noteRest(now, status, notice.Rest)
		}
	})
}
