// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Fields of the log lines about an endpoint's notices.
const (
	fieldEndpoint = "endpoint"
	fieldService  = "service"
)

// ApplyNotice applies the notice in an endpoint's response to a request that was sent at the given time. The notice is valid
// only for the incarnation that sent it.
func (c *Coordinator) ApplyNotice(assignment Assignment, sentAt time.Time, notice deployment.Notice) {
	if notice == (deployment.Notice{}) && c.limitedEndpoints.Load() == 0 && c.brittleServices.Load() == 0 {
		return
	}
	c.loop.Post(func(now time.Time) {
		if !c.sameIncarnation(assignment) {
			return
		}
		status := assignment.status
		c.applyObservedBrittleness(now, status, sentAt, notice)
		c.applyObservedLimit(now, status, status.Allowance.ObserveResponse(now, sentAt, notice.Limit), sentAt)
		if notice.Draining {
			c.markDraining(now, status, "answer")
		}
		if notice.Rest > 0 {
			c.recordRest(now, status, notice.Rest)
		}
	})
}
