// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/deployment"
	"github.com/shelfledge/shelfledge/services/admission"
	"github.com/shelfledge/shelfledge/services/balance"
	"github.com/shelfledge/shelfledge/services/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/directory"
)

// ErrStopped reports that the process is ending.
var ErrStopped = errors.New("coordinator: stopped")

// Refusal is the answer to a request that gets no endpoint; it has not run.
type Refusal struct {
	Reason admission.Reason
	// RetryAfter is when another attempt makes sense.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("coordinator: no endpoint: %s", r.Reason)
}

// Assignment is an endpoint that takes a request; Finish must be called with it.
type Assignment struct {
	Endpoint deployment.Endpoint
	// Version is the version that the endpoint must hold; 0 demands none.
	Version int64
	// MaxConnections bounds this instance's connections to the endpoint.
	MaxConnections int
	// Waited is how long the request waited for the endpoint.
	Waited time.Duration
}

// waiter is a request that waits for an endpoint.
type waiter struct {
	request *deployment.Request
	tried   []deployment.EndpointID
	since   time.Time
	verdict balance.Verdict
	result  chan acquired
}

type acquired struct {
	assignment Assignment
	err        error
}

const (
	// hallPenalty and plainHallPenalty are what crossing between halls weighs, in requests in flight.
	hallPenalty      = 1.0
	plainHallPenalty = 2.5
	// crowdedShare is the part of a model endpoint's slots from which on it gets no new copies, and
	// fullShare the part from which on it gets no requests; between the two it serves what only it holds.
	crowdedShare = 0.5
	fullShare    = 0.65
	// crowdedBatch and fullBatch are the least such bounds, for endpoints with few slots.
	crowdedBatch = 10
	fullBatch    = 12
	// assumedMembers shares connections while the number of instances is not known.
	assumedMembers = 8
)

// CountRequest counts a caller's request for the budget of repeats.
func (c *Coordinator) CountRequest(service string) {
	c.loop.post(func(now time.Time) { c.budget.Request(now, service) })
}

// TakeRepeat asks for one repeat of a request under the fleet's budget.
func (c *Coordinator) TakeRepeat(service string) bool {
	granted := false
	c.loop.call(func(now time.Time) { granted = c.budget.Take(now, service) })
	return granted
}

// Acquire gives an endpoint for a request, waiting for one where that makes sense. Its errors
// are a Refusal, the context's error or ErrStopped.
func (c *Coordinator) Acquire(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (Assignment, error) {
	w := &waiter{request: request, tried: tried, result: make(chan acquired, 1)}
	c.loop.post(func(now time.Time) { c.admit(now, w) })
	select {
	case result := <-w.result:
		return result.assignment, result.err
	case <-ctx.Done():
		c.abandon(w)
		return Assignment{}, ctx.Err()
	case <-c.loop.done:
		return Assignment{}, ErrStopped
	}
}

// abandon takes a request that nobody waits for out of the control state.
func (c *Coordinator) abandon(w *waiter) {
	c.loop.post(func(now time.Time) {
		select {
		case result := <-w.result:
			if result.err == nil {
				c.directory.End(now, result.assignment.Endpoint.ID, w.request.Adapter, directory.Neutral)
			}
		default:
			c.dropWaiter(w)
		}
	})
}

func (c *Coordinator) admit(now time.Time, w *waiter) {
	w.since = now
	if w.request.UsesModel() && len(w.tried) == 0 {
		c.arrivals[deployment.ServiceAdapter{Service: w.request.Service, Adapter: w.request.Adapter}]++
	}
	if c.serve(now, w) {
		return
	}
	c.waiters = append(c.waiters, w)
	if !c.decideWaiter(now, w) {
		c.dropWaiter(w)
		return
	}
	if w.verdict == balance.NotResident || w.verdict == balance.Crowded {
		c.reportSoon(now)
	}
}

// serve assigns an endpoint if one can take the request now.
func (c *Coordinator) serve(now time.Time, w *waiter) bool {
	demand := balance.Demand{Request: w.request, Version: c.demandedVersion(now, w.request.Adapter), Tried: w.tried}
	options := balance.Options{
		Hall: c.options.Hall, HallPenalty: hallPenalty, PlainHallPenalty: plainHallPenalty, FullShare: fullShare, SmallBatch: fullBatch, Random: c.options.Random,
	}
	entry, verdict := balance.Choose(now, c.directory.Service(w.request.Service), demand, options)
	w.verdict = verdict
	if verdict != balance.Chosen {
		return false
	}
	c.directory.Begin(now, entry.ID, w.request.Adapter)
	assignment := Assignment{Endpoint: entry.Endpoint, MaxConnections: c.connectionShare(w.request.Service), Waited: now.Sub(w.since)}
	if named, ok := c.versions[w.request.Adapter]; ok && entry.Offered[w.request.Adapter] >= named.version {
		assignment.Version = named.version
	}
	w.result <- acquired{assignment: assignment}
	return true
}

// demandedVersion is the lowest version that a new request may begin on.
func (c *Coordinator) demandedVersion(now time.Time, adapter deployment.Adapter) int64 {
	named, ok := c.versions[adapter]
	if !ok || now.Sub(named.learned) < c.options.VersionLimit/2 {
		return 0
	}
	return named.version
}

// connectionShare is this instance's part of the connections that an endpoint accepts.
func (c *Coordinator) connectionShare(service string) int {
	configuration := c.current.Load()
	if configuration == nil {
		return 0
	}
	description, ok := configuration.Services[service]
	if !ok || description.MaxConnections == 0 {
		return 0
	}
	return max(1, description.MaxConnections/max(c.following.members, assumedMembers))
}

// decideWaiter tells whether a request goes on waiting; otherwise it was refused.
func (c *Coordinator) decideWaiter(now time.Time, w *waiter) bool {
	situation := admission.Situation{
		Route: w.request.Route, Arrived: w.request.Arrived, Deadline: w.request.Deadline,
		NoEndpoint: w.verdict == balance.NoEndpoint, Crowded: w.verdict == balance.Crowded,
	}
	if w.verdict == balance.NotResident {
		situation.Expected = c.expectedAt(now, w)
	}
	decision := admission.Decide(now, situation)
	if decision.Wait {
		return true
	}
	if decision.Reason == admission.AdapterNotLoaded {
		c.returns = append(c.returns, expectedReturn{
			key: deployment.ServiceAdapter{Service: w.request.Service, Adapter: w.request.Adapter}, at: now.Add(decision.RetryAfter), target: w.request.Route.Target,
		})
	}
	w.result <- acquired{err: &Refusal{Reason: decision.Reason, RetryAfter: decision.RetryAfter}}
	return false
}

// expectedReturn is a refused caller that was told when to come back; its adapter is asked for until then.
type expectedReturn struct {
	key    deployment.ServiceAdapter
	at     time.Time
	target time.Duration
}

const (
	// returnNotice is how long before its time a refused caller's adapter is asked for.
	returnNotice = time.Second
	// returnPatience is how long after its time a refused caller is still expected.
	returnPatience = 300 * time.Millisecond
)

// dropReturned forgets the callers that have come back, or will not.
func (c *Coordinator) dropReturned(now time.Time) {
	c.returns = slices.DeleteFunc(c.returns, func(one expectedReturn) bool { return now.Sub(one.at) > returnPatience })
}

// expectedAt gives when the adapter that a request waits for will be resident, by the planner's last word.
func (c *Coordinator) expectedAt(now time.Time, w *waiter) time.Time {
	load := c.forecasts.Load(deployment.ServiceAdapter{Service: w.request.Service, Adapter: w.request.Adapter})
	return forecast.Expect(now, c.knownPlanner(now), load).At
}

// knownPlanner is what this instance knows of whoever orders loads.
func (c *Coordinator) knownPlanner(now time.Time) forecast.Planner {
	known := forecast.Planner{
		ViewAge: now.Sub(c.following.heard), ConfirmedAge: c.following.confirmedAge, OrderWindow: c.options.Ownership.Window,
		ViewTerm: c.following.term, ResignedTerm: c.following.resignedTerm,
		RecordTerm: c.knownRecord.Term, RecordReleased: c.knownRecord.Released,
	}
	if c.planning != nil {
		known.Holds, known.Gone = !c.planning.leaving, c.planning.leaving
		known.MayOrder = c.planning.tenure.MayOrder(now)
		known.FormerHolderTime = c.planning.tenure.Remaining(now)
	}
	return known
}

// reviewWaiters serves or refuses the requests that wait, the most urgent first.
func (c *Coordinator) reviewWaiters(now time.Time) {
	if len(c.waiters) == 0 {
		return
	}
	slices.SortStableFunc(c.waiters, func(a, b *waiter) int { return cmp.Compare(a.request.Route.Priority, b.request.Route.Priority) })
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		if c.serve(now, w) || !c.decideWaiter(now, w) {
			continue
		}
		kept = append(kept, w)
	}
	clear(c.waiters[len(kept):])
	c.waiters = kept
}

func (c *Coordinator) dropWaiter(w *waiter) {
	for i, other := range c.waiters {
		if other == w {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			return
		}
	}
}

// Finish takes a request out of flight; missing tells that the endpoint did not hold the adapter.
func (c *Coordinator) Finish(request *deployment.Request, assignment Assignment, outcome directory.Outcome, missing bool) {
	c.loop.post(func(now time.Time) {
		c.directory.End(now, assignment.Endpoint.ID, request.Adapter, outcome)
		if missing {
			c.directory.NoteMissing(now, assignment.Endpoint.ID, request.Adapter)
			c.missing = append(c.missing, wire.Copy{ID: assignment.Endpoint.ID, Model: request.Adapter.Model, Name: request.Adapter.Name})
		}
	})
}
