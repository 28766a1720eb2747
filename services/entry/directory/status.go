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
	// Revision is the store's revision of the description.
	Revision int64
	// OfferedModels and Offered are the models and adapters that new requests may use: what the
	// endpoint describes, unless the planner knows better.
	OfferedModels []string
	Offered       map[deployment.Adapter]int64
	// Own is the number of this instance's requests in flight there.
	Own int
	// Others is the number of the other instances' requests, as of the planner's last view.
	Others int
	// OthersUnread is how many tokens of the other instances' prompts it has not read yet, as of the planner's last view.
	OthersUnread int
	// OwnByAdapter counts this instance's requests by adapter.
	OwnByAdapter map[deployment.Adapter]int
	// Unreached says that it refuses the connections of several instances, by the planner's last view.
	Unreached bool
	// Health is how the endpoint has behaved.
	Health Health
	// Allowance is what this instance may send there within the requests a second that the endpoint takes.
	Allowance limit.Allowance
	// Held are the adapters that it held at any time, and when each was last seen there.
	Held map[deployment.Adapter]time.Time
	// Speed is how fast it reads prompts, learned from this instance's own requests.
	Speed work.Speed
	// restUntil is until when it wants nothing from this instance; zero where it has been tried since. tryUntil is until when only one
	// request tries it after that.
	restUntil, tryUntil time.Time
	// hall is how this instance reaches the endpoint's hall.
	hall *reach
	// wait is what own requests tell of the endpoint's own queue.
	wait queueWait
	// missing holds adapters that the endpoint lately said it does not hold.
	missing map[deployment.Adapter]time.Time
}

// missingFor is how long an endpoint's refusal for lack of an adapter outweighs an older description that lists it. Longer keeps requests
// from a copy that was just brought, shorter sends them to one that is not there.
const missingFor = 1500 * time.Millisecond

func newEndpointStatus(endpoint deployment.Endpoint, revision int64, hall *reach) *EndpointStatus {
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

// Holds reports whether a request for an adapter, or for its base model alone, can run here,
// at a version of at least the one given.
func (s *EndpointStatus) Holds(now time.Time, adapter deployment.Adapter, version int64) bool {
	if adapter.IsZero() {
		return slices.Contains(s.OfferedModels, adapter.Model)
	}
	resident, ok := s.Offered[adapter]
	if !ok || resident < version {
		return false
	}
	at, gone := s.missing[adapter]
	return !gone || now.Sub(at) > missingFor
}

// Avoided reports whether the endpoint gets requests only where no other can run them: it behaved badly,
// or its hall cannot be reached.
func (s *EndpointStatus) Avoided(now time.Time) bool {
	return s.Health.Ejected(now) || s.hall.cut(now)
}

// restTrial is for how long one request alone tries an endpoint that has rested: an endpoint that is still full turns it away at once.
// Longer lets fewer requests come to one that is full, shorter sooner to one that is not.
const restTrial = 250 * time.Millisecond

// NoteRest takes in until when the endpoint wants nothing from this instance. The longest of several rests holds, whatever it answers
// meanwhile to requests that it had before.
func (s *EndpointStatus) NoteRest(until time.Time) {
	if until.After(s.restUntil) {
		s.restUntil = until
	}
}

// RestEnds is when the endpoint takes requests of this instance again; past or zero where it does now.
func (s *EndpointStatus) RestEnds() time.Time {
	if s.tryUntil.After(s.restUntil) {
		return s.tryUntil
	}
	return s.restUntil
}

// Rests reports whether the endpoint gets nothing from this instance now.
func (s *EndpointStatus) Rests(now time.Time) bool {
	return now.Before(s.RestEnds())
}

// tryAfterRest notes that a request goes to the endpoint, which tries it if it has rested.
func (s *EndpointStatus) tryAfterRest(now time.Time) {
	if !s.restUntil.IsZero() && !s.Rests(now) {
		s.restUntil, s.tryUntil = time.Time{}, now.Add(restTrial)
	}
}

// Lost reports whether requests go elsewhere, or wait until they can, since nothing listens here by what other instances found. An
// instance that has found out itself tries the endpoint by its own rule, so that those few notice its return.
func (s *EndpointStatus) Lost() bool {
	return s.Unreached && !s.Health.tries()
}

// OwnUnread is how many tokens of this instance's prompts it has not read yet: those of requests that are not known to run.
func (s *EndpointStatus) OwnUnread() int {
	return s.wait.unread
}

// Unread is how many tokens of all instances' prompts are known to wait for being read.
func (s *EndpointStatus) Unread() int {
	return s.OwnUnread() + s.OthersUnread
}

// Backlog is how long the endpoint will take to read the prompts that wait there.
func (s *EndpointStatus) Backlog() time.Duration {
	return s.Speed.ReadTime(s.Unread())
}

// Load is the number of requests known to be in flight.
func (s *EndpointStatus) Load() int {
	return s.Own + s.Others
}
