// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/limit"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

// EndpointStatus is the state of one endpoint as this instance sees it.
type EndpointStatus struct {
	deployment.Endpoint
	// Revision is the store revision of the description.
	Revision int64
	// OfferedModels and Offered are the models and adapters that new requests may use. They are those of the description, unless the
	// planner has sent newer ones.
	OfferedModels []string
	Offered       map[deployment.Adapter]int64
	// OwnRequests is the number of this instance's requests in flight at the endpoint.
	OwnRequests int
	// ReportedRequests is the number of this instance's requests in flight that it last reported, which the other instances count.
	ReportedRequests int
	// OthersRequests is the number of the other instances' requests in flight, as of the planner's last view.
	OthersRequests int
	// OthersUnread is the number of prompt tokens of the other instances' requests that the endpoint has not read yet, as of the planner's
	// last view.
	OthersUnread int
	// OwnByAdapter counts this instance's requests in flight by adapter.
	OwnByAdapter map[deployment.Adapter]int
	// Unreachable reports whether the endpoint refused the connections of several instances, as of the planner's last view.
	Unreachable bool
	// Health is the record of the exchanges with the endpoint.
	Health Health
	// Allowance is how many requests this instance may send now, given the endpoint's limit of requests per second.
	Allowance limit.Allowance
	// Room is how many requests this instance may send now, given that the endpoint falls over if it rejects too many.
	Room limit.Room
	// Held are the adapters that the endpoint has held, each with the time when it was last offered there.
	Held map[deployment.Adapter]time.Time
	// Speed is the endpoint's prompt reading speed, estimated from this instance's own requests.
	Speed work.Speed
	// restUntil is the end of the rest that the endpoint asked this instance for; zero once a request has been sent after it.
	// restTrialUntil is the end of the period after that in which only this one request is in trial.
	restUntil, restTrialUntil time.Time
	// hall is the reachability of the endpoint's hall, shared by its endpoints.
	hall *hallReachability
	// wait holds the waits of this instance's requests in the endpoint's own queue.
	wait queueWaits
	// missing holds the adapters that the endpoint recently answered it does not hold, with the time of the answer.
	missing map[deployment.Adapter]time.Time
}

// missingRetention is how long an answer that an adapter is missing overrides an older description that lists it. A higher value keeps
// requests from a copy that was just loaded, a lower one sends them to a copy that is not there.
const missingRetention = 1500 * time.Millisecond

func newEndpointStatus(endpoint deployment.Endpoint, revision int64, hall *hallReachability) *EndpointStatus {
	return &EndpointStatus{
		Endpoint:      endpoint,
		hall:          hall,
		Revision:      revision,
		OfferedModels: endpoint.Models,
		Offered:       endpoint.Adapters,
		OwnByAdapter:  make(map[deployment.Adapter]int),
		Held:          make(map[deployment.Adapter]time.Time),
		missing:       make(map[deployment.Adapter]time.Time),
	}
}

// Holds reports whether a request for an adapter, or for its base model alone, can run on the endpoint at the given version or a later one.
func (s *EndpointStatus) Holds(now time.Time, adapter deployment.Adapter, version int64) bool {
	if adapter.IsZero() {
		return slices.Contains(s.OfferedModels, adapter.Model)
	}
	resident, ok := s.Offered[adapter]
	if !ok || resident < version {
		return false
	}
	reportedAt, isMissing := s.missing[adapter]
	return !isMissing || now.Sub(reportedAt) > missingRetention
}

// Avoided reports whether the endpoint gets requests only where no other can run them: it is ejected, or its hall cannot be reached.
func (s *EndpointStatus) Avoided(now time.Time) bool {
	return s.Health.Ejected(now) || s.hall.unreachable(now)
}

// restTrialPeriod is how long a single request tries an endpoint after its rest: an endpoint that is still full refuses the request at
// once. A higher value sends fewer requests to an endpoint that is still full, a lower one uses a free endpoint sooner.
const restTrialPeriod = 250 * time.Millisecond

// RecordRest records that the endpoint asked this instance to send nothing until a time. The latest of several such times applies, whatever
// the endpoint answers meanwhile to requests sent before.
func (s *EndpointStatus) RecordRest(until time.Time) {
	if until.After(s.restUntil) {
		s.restUntil = until
	}
}

// RestEnds returns when the endpoint accepts requests of this instance again; a past or zero time if it accepts them now.
func (s *EndpointStatus) RestEnds() time.Time {
	if s.restTrialUntil.After(s.restUntil) {
		return s.restTrialUntil
	}
	return s.restUntil
}

// IsResting reports whether this instance must send the endpoint no requests now.
func (s *EndpointStatus) IsResting(now time.Time) bool {
	return now.Before(s.RestEnds())
}

// beginRestTrial starts the trial period if this request is the first one after a rest.
func (s *EndpointStatus) beginRestTrial(now time.Time) {
	if !s.restUntil.IsZero() && !s.IsResting(now) {
		s.restUntil, s.restTrialUntil = time.Time{}, now.Add(restTrialPeriod)
	}
}

// ReportedUnreachable reports whether requests must go to other endpoints, or wait for one, because the endpoint refuses the
// connections of other instances. An instance that ejected the endpoint itself continues its own trials, so that a few instances
// notice when the endpoint accepts connections again.
func (s *EndpointStatus) ReportedUnreachable() bool {
	return s.Unreachable && !s.Health.awaitingRecovery()
}

// OwnUnread returns the number of prompt tokens of this instance's requests that the endpoint has not read yet: those of requests that are
// not known to run.
func (s *EndpointStatus) OwnUnread() int {
	return s.wait.unread
}

// Unread returns the number of prompt tokens of all instances' requests that are known to be unread.
func (s *EndpointStatus) Unread() int {
	return s.OwnUnread() + s.OthersUnread
}

// Backlog returns how long the endpoint will take to read the unread prompts.
func (s *EndpointStatus) Backlog() time.Duration {
	return s.Speed.ReadTime(s.Unread())
}

// Load returns the number of requests known to be in flight, of all instances.
func (s *EndpointStatus) Load() int {
	return s.OwnRequests + s.OthersRequests
}
