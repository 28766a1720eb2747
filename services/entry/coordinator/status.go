// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import "time"

// Status is what a coordinator says of itself.
type Status struct {
	Configuration  int64
	Endpoints      int
	Ejected        int
	ResidentCopies int
	Waiting        int
	InFlight       int
	Planning       bool
	Planner        string
	Term           int64
	Members        int
}

// Status gives the present state; it is zero once the coordinator has stopped.
func (c *Coordinator) Status() Status {
	var status Status
	c.loop.Call(func(now time.Time) {
		status = Status{
			Endpoints: c.directory.Size(), Waiting: c.waiters.Len(), Planning: c.planning != nil,
			Planner: c.following.Planner, Term: c.following.Term, Members: c.following.Members,
		}
		if configuration := c.current.Load(); configuration != nil {
			status.Configuration = configuration.Version
		}
		if c.planning != nil {
			status.Planner, status.Term = c.options.Instance, c.planning.lease.Record().Term
		}
		for _, endpoint := range c.directory.Endpoints() {
			status.InFlight += endpoint.Own
			status.ResidentCopies += len(endpoint.Offered)
			if endpoint.Health.Ejected(now) {
				status.Ejected++
			}
		}
	})
	return status
}
