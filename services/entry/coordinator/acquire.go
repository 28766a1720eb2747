// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/waiting"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/work"
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
	// Version is the version that the endpoint must hold: the one that it offers, the named one or newer; 0 demands none.
	Version int64
	// MaxConnections bounds this instance's connections to the endpoint.
	MaxConnections int
	// Urgency is the level at which the endpoint is to take the request up, the lowest first.
	Urgency int
	// Expected is how long the endpoint is expected to take until the first event, by the prompts that wait there and the own
	// one; 0 where the caller declared no prompt.
	Expected time.Duration
	// Waited is how long the request waited for the endpoint.
	Waited time.Duration
	// Assigned is when the endpoint was chosen; from then on the request waits there until it runs.
	Assigned time.Time
	// Held is the version of the request's adapter that the endpoint was taken to hold; 0 for a request without one.
	Held int64
	// Former tells of the choice of an endpoint that holds only a former version.
	Former FormerUse
	// Recall ends the exchange where the request has not begun in time; nil where it is never taken back.
	Recall *unbegun.Recall
	// status is what was known of the endpoint when it was chosen; used by the control goroutine only.
	status *directory.EndpointStatus
}

// FormerUse is on what ground an endpoint was chosen that holds only a former version; the zero value says that it holds the named
// one, or a newer one.
type FormerUse struct {
	// Left is how long the former version was still allowed when the endpoint was chosen; Expected how long the request was
	// expected to wait in the endpoint's own queue.
	Left     time.Duration
	Expected time.Duration
}

// waiter is a request that waits for an endpoint.
type waiter = waiting.Request[acquired]

// acquired is the answer to a waiting request.
type acquired struct {
	assignment Assignment
	err        error
}

// assumedMembers is the number of instances that share connections while it is not known.
const assumedMembers = 8

// CountRequest counts a caller's request for the budget of retries.
func (c *Coordinator) CountRequest(service string) {
	c.loop.Post(func(now time.Time) { c.budget.Request(now, service) })
}

// TakeRetry asks for one retry of a request under the fleet's budget.
func (c *Coordinator) TakeRetry(service string) bool {
	granted := false
	c.loop.Call(func(now time.Time) { granted = c.budget.Take(now, service) })
	return granted
}

// Acquire gives an endpoint for a request, waiting for one where that makes sense. Its errors
// are a Refusal, the context's error or ErrStopped.
func (c *Coordinator) Acquire(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (Assignment, error) {
	w := waiting.New[acquired](request, tried)
	c.loop.Post(func(now time.Time) { c.admit(now, w) })
	select {
	case result := <-w.Result:
		return result.assignment, result.err
	case <-ctx.Done():
		c.abandon(w)
		return Assignment{}, ctx.Err()
	case <-c.loop.Done():
		return Assignment{}, ErrStopped
	}
}

// abandon takes a request that nobody waits for out of the control state.
func (c *Coordinator) abandon(w *waiter) {
	c.loop.Post(func(now time.Time) {
		select {
		case result := <-w.Result:
			if result.err == nil {
				c.end(now, result.assignment, w.Request, directory.Neutral)
			}
		default:
			c.waiters.Drop(w)
		}
	})
}

func (c *Coordinator) admit(now time.Time, w *waiter) {
	w.Since = now
	if hold, held := c.crashes.Admit(now, w.Fingerprint); held {
		w.Result <- refusedByQuarantine(hold)
		return
	}
	// It may be a trial.
	c.tellCrashesSoon(now)
	if w.UsesModel() && len(w.Tried) == 0 {
		c.demand.Arrived(w.Key(), w.Prompt)
	}
	c.noteUsed(w.Service)
	if c.serve(now, w) {
		return
	}
	c.waiters.Add(w)
	if !c.decideWaiter(now, w) {
		c.waiters.Drop(w)
		return
	}
	if w.Verdict >= balance.NotResident {
		c.reportSoon(now)
	}
}

// serve assigns an endpoint if one can take the request now.
func (c *Coordinator) serve(now time.Time, w *waiter) bool {
	named := c.versions.Named(w.Adapter)
	former, formerWait := c.versions.Former(now, w.Adapter, c.options.VersionLimit)
	required := balance.Requirement{
		Request: w.Request, Tried: w.Tried, Version: named, Former: former, FormerWait: formerWait,
		OthersKnown: c.planning != nil || c.following.Fresh(now), OthersAge: now.Sub(c.othersAsOf), Stay: c.directory.Stay(w.Service),
	}
	status, verdict := balance.Choose(now, c.directory.Service(w.Service), required, balance.NewOptions(c.options.Hall, c.options.Random))
	w.Verdict = verdict
	if verdict != balance.Chosen {
		return false
	}
	formerUse := formerUseOf(now, status, required)
	held := status.Offered[w.Adapter]
	c.directory.Begin(now, status.ID, w.Request)
	assignment := Assignment{
		Endpoint: status.Endpoint, MaxConnections: c.connectionShare(w.Service), Waited: now.Sub(w.Since), Assigned: now,
		Urgency: c.urgency(now, w.Request, status), Held: held, Former: formerUse, Recall: c.trackBegin(w.Request, held),
		status: status,
	}
	if w.Prompt > 0 {
		assignment.Expected = status.Backlog()
	}
	if named > 0 && held >= named {
		// Endpoints refuse any other version, newer ones too, and this one may be newer than the name that is known here.
		assignment.Version = held
	}
	w.Result <- acquired{assignment: assignment}
	return true
}

// formerUseOf tells on what ground an endpoint was chosen, before the request counts there.
func formerUseOf(now time.Time, status *directory.EndpointStatus, required balance.Requirement) FormerUse {
	adapter := required.Request.Adapter
	if adapter.IsZero() || status.Offered[adapter] >= required.Version {
		return FormerUse{}
	}
	wait, _ := status.ExpectedWait(now, required.Request.Route.Priority, required.OthersKnown)
	return FormerUse{Left: required.FormerWait, Expected: wait}
}

// urgency is the level at which an endpoint is to take a request up: by its route's priority, then by how long it can wait there
// and still be answered in time.
func (c *Coordinator) urgency(now time.Time, request *deployment.Request, status *directory.EndpointStatus) int {
	rank := work.Rank{}
	if configuration := c.current.Load(); configuration != nil {
		rank.Place, rank.Of = configuration.PriorityRank(request.Service, request.Route.Priority)
	}
	slack := request.Arrived.Add(request.Route.TargetLatency).Sub(now) - status.Speed.ReadTime(request.Prompt)
	return rank.Urgency(slack)
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
	return max(1, description.MaxConnections/max(c.following.Members, assumedMembers))
}

// decideWaiter tells whether a request goes on waiting; otherwise it was refused.
func (c *Coordinator) decideWaiter(now time.Time, w *waiter) bool {
	situation := admission.Situation{
		Route: w.Route, Arrived: w.Arrived, Deadline: w.Deadline,
		NoEndpoint: w.Verdict == balance.NoEndpoint, Saturated: w.Verdict == balance.Saturated,
	}
	switch w.Verdict {
	case balance.NotResident:
		expected := c.expected(now, w)
		situation.Expected, situation.NobodyOrders = expected.At, expected.Reason.NobodyOrders()
	case balance.Limited, balance.Resting:
		situation.Limited, situation.Resting = w.Verdict == balance.Limited, w.Verdict == balance.Resting
		situation.Turn, situation.Spread = c.turnOf(now, w), c.options.Random()
	}
	decision := admission.Decide(now, situation)
	if decision.Wait {
		return true
	}
	if decision.Reason == admission.AdapterNotLoaded {
		c.demand.ExpectBack(w.Key(), now.Add(decision.RetryAfter), w.Route.TargetLatency)
	}
	if decision.Reason == admission.Limited {
		c.noteMissed(now, w)
	}
	w.Result <- acquired{err: &Refusal{Reason: decision.Reason, RetryAfter: decision.RetryAfter}}
	return false
}

// expected gives when the adapter that a request waits for will be resident, by the planner's last view.
func (c *Coordinator) expected(now time.Time, w *waiter) forecast.Expected {
	return forecast.Expect(now, c.knownPlanner(now), c.forecasts.Load(w.Key()))
}

// knownPlanner is what this instance knows of whoever orders loads.
func (c *Coordinator) knownPlanner(now time.Time) forecast.Planner {
	known := forecast.Planner{
		ViewAge: now.Sub(c.following.ReceivedAt), ConfirmedAge: c.following.ConfirmedAge, OrderWindow: c.options.Lease.Window,
		ViewTerm: c.following.Term, ResignedTerm: c.following.ResignedTerm,
		StoreSilent: c.storeSilent(now), RecordTerm: c.knownRecord.Term, RecordReleased: c.knownRecord.Released,
	}
	if c.planning != nil {
		known.Holds, known.GivingUp = !c.planning.givingUp, c.planning.givingUp
		known.StoreSilent = c.planning.lease.ConfirmedAge(now)
		known.MayOrder = c.planning.lease.MayOrder(now)
		known.FormerHolderTime = c.planning.lease.Remaining(now)
	}
	return known
}

// storeSilent is for how long the store has failed this instance in its looks for a planner; 0 if it answered the last one.
func (c *Coordinator) storeSilent(now time.Time) time.Duration {
	if c.storeSilentSince.IsZero() {
		return 0
	}
	return now.Sub(c.storeSilentSince)
}

// reviewWaiters serves or refuses the requests that wait, the most urgent first.
func (c *Coordinator) reviewWaiters(now time.Time) {
	c.waiters.Review(func(w *waiter) bool { return !c.holdBack(now, w) && !c.serve(now, w) && c.decideWaiter(now, w) })
}

// end takes a request out of flight and out of its endpoint's queue.
func (c *Coordinator) end(now time.Time, assignment Assignment, request *deployment.Request, outcome directory.Outcome) {
	c.unbegun.Remove(assignment.Recall)
	if !c.stillKnown(assignment) {
		return
	}
	c.directory.NoteStay(request.Service, now.Sub(assignment.Assigned))
	c.directory.LeaveQueue(now, assignment.Endpoint.ID, assignment.Assigned, request)
	c.directory.End(now, assignment.Endpoint.ID, request.Adapter, outcome)
	if (outcome == directory.Unreached || outcome == directory.Ended) && assignment.status.Health.Unreached(now) {
		// The others find it out by this report in place of requests of their own.
		c.reportSoon(now)
	}
}

// stillKnown tells whether the endpoint is the incarnation that was chosen, and has been known since: what another one has in flight
// and how it behaves are counted by themselves.
func (c *Coordinator) stillKnown(assignment Assignment) bool {
	return c.directory.Endpoint(assignment.Endpoint.ID) == assignment.status
}

// Finish takes a request out of flight; missing tells that the endpoint did not hold the adapter.
func (c *Coordinator) Finish(request *deployment.Request, assignment Assignment, outcome directory.Outcome, missing bool) {
	c.loop.Post(func(now time.Time) {
		c.end(now, assignment, request, outcome)
		if missing && c.stillKnown(assignment) {
			c.directory.MarkMissing(now, assignment.Endpoint.ID, request.Adapter)
			c.missing = append(c.missing, wire.Copy{ID: assignment.Endpoint.ID, Model: request.Adapter.Model, Name: request.Adapter.Name})
		}
	})
}
