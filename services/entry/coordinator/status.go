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
	// Quarantined is the number of requests that are held back.
	Quarantined int
	// Limited is the number of endpoints that take a limited number of requests.
	Limited int
	// Resting is the number of endpoints that asked this instance for rest.
	Resting int
	// PeerQueueBytes is what waits to be written to peers, in bytes; a message for several peers counts for each.
	PeerQueueBytes int64
	// EndpointsAge is for how long the endpoints in use may have changed unnoticed; 0 before they were known.
	EndpointsAge time.Duration
	// OthersInFlight counts the other instances' requests as known here, CountsAge is how old that is on the mean.
	OthersInFlight int
	CountsAge      time.Duration
}

// Status gives the present state; it is zero once the coordinator has stopped.
func (c *Coordinator) Status() Status {
	var status Status
	c.loop.Call(func(now time.Time) {
		status = Status{
			Endpoints: c.directory.Size(), Waiting: c.waiters.Len(), Planning: c.planning != nil,
			Planner: c.following.Planner, Term: c.following.Term, Members: c.following.Members,
			PeerQueueBytes: c.peerQueueBytes(), EndpointsAge: c.endpointsAge(now),
		}
		if configuration := c.current.Load(); configuration != nil {
			status.Configuration = configuration.Version
		}
		if c.planning != nil {
			status.Planner, status.Term = c.options.Instance, c.planning.lease.Record().Term
		}
		status.Limited = len(c.limits.known)
		status.Quarantined = len(c.crashes.AllHeld(now))
		if !c.othersAsOf.IsZero() {
			status.CountsAge = now.Sub(c.othersAsOf)
		}
		for _, endpoint := range c.directory.Endpoints() {
			status.InFlight += endpoint.OwnRequests
			status.OthersInFlight += endpoint.OthersRequests
			status.ResidentCopies += len(endpoint.Offered)
			if endpoint.IsResting(now) {
				status.Resting++
			}
			if endpoint.Health.Ejected(now) {
				status.Ejected++
			}
		}
	})
	return status
}

// peerQueueBytes sums what waits on the links to peers.
func (c *Coordinator) peerQueueBytes() int64 {
	var sum int64
	if c.following.stream != nil {
		sum += c.following.stream.QueuedBytes()
	}
	if c.planning == nil {
		return sum
	}
	for _, m := range c.planning.members.All() {
		if m.Link != nil {
			sum += m.Link.QueuedBytes()
		}
	}
	return sum
}

// endpointsAge is for how long the endpoints in use may have changed unnoticed: since this instance or the planner, by its
// last view, read them.
func (c *Coordinator) endpointsAge(now time.Time) time.Duration {
	if !c.endpointsKnown {
		return 0
	}
	age := now.Sub(c.endpointsReadAt)
	if c.planning == nil && !c.following.ReceivedAt.IsZero() {
		age = min(age, c.following.Age(now))
	}
	return age
}
