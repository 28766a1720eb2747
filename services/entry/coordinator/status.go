// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import "time"

// Status is a snapshot of a coordinator's state.
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
	// Quarantined is the number of quarantined requests and parts of prompts.
	Quarantined int
	// Limited is the number of endpoints with a request limit.
	Limited int
	// Resting is the number of endpoints that asked this instance for a rest.
	Resting int
	// PeerQueueBytes is the size of the messages that are queued for peers, in bytes. A message for several peers counts
	// once for each.
	PeerQueueBytes int64
	// StoreEra is how often the store came back from a copy, as far as this instance knows.
	StoreEra int64
	// EndpointsAge is how long ago the endpoints in use were read; later changes are not known. It is 0 before any are known.
	EndpointsAge time.Duration
	// OthersInFlight is the known number of in-flight requests of the other instances, and CountsAge is the mean age of
	// their counts.
	OthersInFlight int
	CountsAge      time.Duration
	// ConfigurationLag is for how long this instance has lacked operators' keys that the planner has.
	ConfigurationLag time.Duration
}

// Status returns the present state. It is zero after the coordinator has stopped.
func (c *Coordinator) Status() Status {
	var status Status
	c.loop.Call(func(now time.Time) {
		status = Status{
			Endpoints: c.directory.Size(), Waiting: c.waiters.Len() + c.suspects.Len(), Planning: c.planner != nil,
			Planner: c.follower.Planner, Term: c.follower.Term, Members: c.follower.Members,
			PeerQueueBytes: c.peerQueueBytes(), EndpointsAge: c.endpointsAge(now),
		}
		if configuration := c.current.Load(); configuration != nil {
			status.Configuration = configuration.Version
		}
		if c.planner != nil {
			status.Planner, status.Term = c.options.Instance, c.planner.lease.Record().Term
		}
		status.StoreEra = c.storeEra
		status.ConfigurationLag = c.situation(now).KeysLag
		status.Limited = len(c.endpointLimits.known)
		status.Quarantined = len(c.crashes.AllHeld(now)) + len(c.parts.AllHeld(now))
		if !c.othersInFlightAt.IsZero() {
			status.CountsAge = now.Sub(c.othersInFlightAt)
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

// peerQueueBytes returns the total size of the messages that are queued on the links to peers.
func (c *Coordinator) peerQueueBytes() int64 {
	var sum int64
	if c.follower.stream != nil {
		sum += c.follower.stream.QueuedBytes()
	}
	if c.planner == nil {
		return sum
	}
	for _, m := range c.planner.members.All() {
		if m.Link != nil {
			sum += m.Link.QueuedBytes()
		}
	}
	return sum
}

// endpointsAge returns the time since the endpoints were read, by this instance or, according to the last view, by the planner.
// Changes since then are not known.
func (c *Coordinator) endpointsAge(now time.Time) time.Duration {
	if !c.endpointsKnown {
		return 0
	}
	age := now.Sub(c.endpointsReadAt)
	if c.planner == nil && !c.follower.ReceivedAt.IsZero() {
		age = min(age, c.follower.Age(now))
	}
	return age
}
