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
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/waiting"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/limit"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

// ErrStopped is returned when the process is ending.
var ErrStopped = errors.New("coordinator: stopped")

// Refusal is the error for a request that gets no endpoint. The request has not run.
type Refusal struct {
	Reason admission.Reason
	// RetryAfter is the time after which another attempt makes sense.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("coordinator: no endpoint: %s", r.Reason)
}

// Assignment is the endpoint that was chosen for a request. Finish must be called with it.
type Assignment struct {
	Endpoint deployment.Endpoint
	// Version is the version that the endpoint must hold: the one that the endpoint offers, which is the named version or
	// a newer one. 0 requires none.
	Version int64
	// MaxConnections bounds this instance's connections to the endpoint, MaxKept those that are open while one is kept without a request. Without
	// MaxConnections neither is bounded.
	MaxConnections, MaxKept int
	// Urgency is the priority level that the endpoint is to give the request; the lowest level is served first.
	Urgency int
	// Expected is the expected time until the endpoint's first event, computed from the prompts that wait there and the
	// request's own prompt. It is 0 if the caller declared no prompt.
	Expected time.Duration
	// Waited is the time for which the request waited for an endpoint.
	Waited time.Duration
	// Assigned is the time at which the endpoint was chosen. From then on the request waits there until it runs.
	Assigned time.Time
	// HeldVersion is the version of the request's adapter that the endpoint was assumed to hold. It is 0 for a request
	// without an adapter.
	HeldVersion int64
	// FormerVersion describes the choice of an endpoint that holds only a former version.
	FormerVersion FormerUse
	// Recall cancels the exchange if the request has not begun in time. It is nil if the request is never recalled.
	Recall *recall.Recall
	// status is the endpoint's status at the time of the choice. Only the control goroutine uses it.
	status *directory.EndpointStatus
}

// FormerUse describes why an endpoint was chosen that holds only a former version. The zero value means that the endpoint
// holds the named version or a newer one.
type FormerUse struct {
	// Remaining is the time for which the former version was still allowed when the endpoint was chosen. Expected is the
	// time for which the request was expected to wait in the endpoint's own queue.
	Remaining time.Duration
	Expected  time.Duration
}

// waiter is a request that waits for an endpoint.
type waiter = waiting.Request[acquireResult]

// acquireResult is the result of Acquire for one request.
type acquireResult struct {
	assignment Assignment
	err        error
}

// defaultMembers is the number of instances that are assumed to share an endpoint's connections and limits while the real
// number is not known.
const defaultMembers = 8

// CountRequest counts a caller's request for the retry budget.
func (c *Coordinator) CountRequest(service string) {
	c.loop.Post(func(now time.Time) { c.budget.RecordRequest(now, service) })
}

// TakeRetry takes one retry of a request from the retry budget of the fleet and reports whether it was granted.
func (c *Coordinator) TakeRetry(service string) bool {
	granted := false
	c.loop.Call(func(now time.Time) { granted = c.budget.Take(now, service) })
	return granted
}

// Acquire returns an endpoint for a request and waits for one where that makes sense. Its error is a *Refusal, the
// context's error or ErrStopped.
func (c *Coordinator) Acquire(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (Assignment, error) {
	w := waiting.New[acquireResult](request, tried)
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

// abandon removes a request from the control state after its caller has stopped waiting.
func (c *Coordinator) abandon(w *waiter) {
	c.loop.Post(func(now time.Time) {
		select {
		case result := <-w.Result:
			if result.err == nil {
				c.endRequest(now, result.assignment, w.Request, directory.Neutral)
			}
		default:
			c.waiters.Remove(w)
			c.suspects.Remove(w)
		}
	})
}

func (c *Coordinator) admit(now time.Time, w *waiter) {
	if w.Since.IsZero() {
		w.Since = now
	}
	admitted := c.admitSuspect(now, w)
	// The other instances must be informed of a claimed trial.
	c.publishCrashes(now)
	if !admitted {
		return
	}
	c.countArrival(w)
	c.recordServiceUse(w.Service)
	if c.tryAssign(now, w) {
		return
	}
	c.waiters.Add(w)
	if !c.keepWaiting(now, w) {
		c.waiters.Remove(w)
		return
	}
	if w.Verdict >= balance.NotResident {
		c.requestReport(now)
	}
}

// countArrival counts the arrival of a request for an adapter once, not its retries.
func (c *Coordinator) countArrival(w *waiter) {
	if w.Counted || !w.UsesModel() || len(w.Tried) > 0 {
		return
	}
	w.Counted = true
	c.demand.AddArrival(w.Key(), w.PromptTokens)
}

// tryAssign assigns an endpoint if one can accept the request now, and reports whether it did.
func (c *Coordinator) tryAssign(now time.Time, w *waiter) bool {
	c.observeSoftware(now)
	named := c.versions.Latest(w.Adapter)
	former, formerWait := c.formerVersion(now, w.Adapter)
	connections := c.connectionLimit(w.Service)
	required := balance.Requirement{
		Request: w.Request, Tried: w.Tried, Version: named, FormerVersion: former, FormerWait: formerWait,
		Bound:   c.boundSoftware(w.Request) != "",
		Brittle: c.isBrittle(w.Service), Members: c.fleetSize(), Connections: connections,
		OthersKnown: c.planner != nil || c.follower.Fresh(now), OthersAge: now.Sub(c.othersInFlightAt), MeanInFlightTime: c.directory.MeanInFlightTime(w.Service),
	}
	status, verdict := balance.Choose(now, c.directory.Service(w.Service), required, balance.NewOptions(c.options.Hall, c.options.Random))
	w.Verdict = verdict
	if verdict != balance.Chosen {
		return false
	}
	formerUse := newFormerUse(now, status, required)
	held := status.Offered[w.Adapter]
	c.directory.Begin(now, status.ID, w.Request)
	c.crashes.RecordSent(w.Fingerprint)
	assignment := Assignment{
		Endpoint: status.Endpoint, MaxConnections: connections.Accepted, MaxKept: connections.Kept(), Waited: now.Sub(w.Since), Assigned: now,
		Urgency: c.urgency(now, w.Request, status), HeldVersion: held, FormerVersion: formerUse, Recall: c.trackPendingStart(now, w.Request, status.ID, held),
		status: status,
	}
	if w.PromptTokens > 0 {
		assignment.Expected = status.Backlog()
	}
	if named > 0 && held >= named {
		// Endpoints refuse every version but the one that they hold, newer ones too. The held version may be newer than
		// the named version that is known here.
		assignment.Version = held
	}
	w.Result <- acquireResult{assignment: assignment}
	return true
}

// newFormerUse describes why the endpoint was chosen. It must be called before the request is counted at the endpoint.
func newFormerUse(now time.Time, status *directory.EndpointStatus, required balance.Requirement) FormerUse {
	adapter := required.Request.Adapter
	if adapter.IsZero() || status.Offered[adapter] >= required.Version {
		return FormerUse{}
	}
	wait, _ := status.ExpectedWait(now, required.Request.Route.Priority, required.OthersKnown)
	return FormerUse{Remaining: required.FormerWait, Expected: wait}
}

// urgency returns the priority level that an endpoint is to give a request. It depends on the priority of the route first,
// then on how long the request can wait at the endpoint and still be answered in time.
func (c *Coordinator) urgency(now time.Time, request *deployment.Request, status *directory.EndpointStatus) int {
	rank := work.Rank{}
	if configuration := c.current.Load(); configuration != nil {
		rank.Position, rank.Total = configuration.PriorityRank(request.Service, request.Route.Priority)
	}
	slack := request.Arrived.Add(request.Route.TargetLatency).Sub(now) - status.Speed.ReadTime(request.PromptTokens)
	return rank.Urgency(slack)
}

// connectionLimit returns what bounds this instance's connections to each endpoint of a service.
func (c *Coordinator) connectionLimit(service string) limit.Connections {
	connections := limit.Connections{Members: max(c.follower.Members, defaultMembers)}
	if configuration := c.current.Load(); configuration != nil && configuration.Services[service] != nil {
		connections.Accepted = configuration.Services[service].MaxConnections
	}
	return connections
}

// keepWaiting reports whether a request continues to wait. If it does not, the request was refused.
func (c *Coordinator) keepWaiting(now time.Time, w *waiter) bool {
	situation := admission.Situation{
		Route: w.Route, Arrived: w.Arrived, Deadline: w.Deadline,
		NoEndpoint: w.Verdict == balance.NoEndpoint, Saturated: w.Verdict == balance.Saturated,
		Brittle: c.isBrittle(w.Service), Jitter: c.options.Random(),
	}
	switch w.Verdict {
	case balance.NotResident:
		expectedLoad := c.expectedLoad(now, w)
		situation.AdapterExpectedAt, situation.NoActivePlanner = expectedLoad.At, expectedLoad.Reason.NoActivePlanner()
		situation.AdapterMayComeSooner = expectedLoad.Reason.MayComeSooner()
	case balance.Limited, balance.Resting:
		situation.Limited, situation.Resting = w.Verdict == balance.Limited, w.Verdict == balance.Resting
		situation.SendableAt = c.earliestSend(now, w)
	}
	decision := admission.Decide(now, situation)
	if decision.Wait {
		return true
	}
	if decision.Reason == admission.AdapterNotLoaded {
		c.demand.ExpectRetry(w.Key(), c.boundSoftware(w.Request), now.Add(decision.RetryAfter), w.Route.TargetLatency)
	}
	if decision.Reason == admission.Limited {
		c.recordLimitRefusal(now, w)
	}
	w.Result <- acquireResult{err: &Refusal{Reason: decision.Reason, RetryAfter: decision.RetryAfter}}
	return false
}

// expectedLoad returns when the adapter that a request waits for is expected to be resident, according to the planner's
// last view. That does not tell where a load is under way: a request that only one software may run counts on none of them,
// but on one that has yet to begin. Its place in the backlog is not known either: the planner loads for it before others, and
// also at endpoints that are too busy for these.
func (c *Coordinator) expectedLoad(now time.Time, w *waiter) forecast.Expected {
	load := c.forecasts.Load(w.Key())
	load.BySoftware = c.boundSoftware(w.Request) != ""
	return forecast.Expect(now, c.plannerKnowledge(now), load)
}

// plannerKnowledge returns what this instance knows about the planner.
func (c *Coordinator) plannerKnowledge(now time.Time) forecast.Planner {
	knowledge := forecast.Planner{
		ViewAge: now.Sub(c.follower.ReceivedAt), ConfirmedAge: c.follower.ConfirmedAge, OrderWindow: c.options.Lease.Window,
		ViewTerm: c.follower.Term, ResignedTerm: c.follower.ResignedTerm,
		StoreSilent: c.storeFailingFor(now), RecordTerm: c.knownRecord.Term, RecordReleased: c.knownRecord.Released,
	}
	if c.planner != nil {
		knowledge.HoldsLease, knowledge.ReleasingLease = !c.planner.steppingDown, c.planner.steppingDown
		knowledge.StoreSilent = c.planner.lease.ConfirmedAge(now)
		knowledge.MayOrder = c.planner.lease.MayOrder(now)
		knowledge.FormerHolderTime = c.planner.lease.RemainingWait(now)
	}
	return knowledge
}

// storeFailingFor returns for how long this instance's reads of the lease record have failed. It is 0 if the last read
// succeeded.
func (c *Coordinator) storeFailingFor(now time.Time) time.Duration {
	if c.storeFailingSince.IsZero() {
		return 0
	}
	return now.Sub(c.storeFailingSince)
}

// reviewWaiters assigns or refuses waiting requests, the most urgent first.
func (c *Coordinator) reviewWaiters(now time.Time) {
	c.waiters.Review(func(w *waiter) bool { return c.admitSuspect(now, w) && !c.tryAssign(now, w) && c.keepWaiting(now, w) })
}

// endRequest removes a request from the in-flight counts and from its endpoint's queue.
func (c *Coordinator) endRequest(now time.Time, assignment Assignment, request *deployment.Request, outcome directory.Outcome) {
	c.pendingStarts.Remove(assignment.Recall)
	c.crashes.RecordEnded(request.Fingerprint)
	if !c.sameIncarnation(assignment) {
		return
	}
	c.directory.RecordInFlightTime(request.Service, now.Sub(assignment.Assigned), outcome)
	c.directory.LeaveQueue(now, assignment.Endpoint.ID, assignment.Assigned, request)
	c.directory.End(now, assignment.Endpoint.ID, request.Adapter, outcome)
	if (outcome == directory.Unreachable || outcome == directory.Ended) && assignment.status.Health.Unreachable(now) {
		// This report informs the other instances, which would otherwise find out by failed requests of their own.
		c.requestReport(now)
	}
}

// sameIncarnation reports whether the chosen incarnation of the endpoint has stayed in the directory since the choice.
// Requests in flight and health are counted for each incarnation separately.
func (c *Coordinator) sameIncarnation(assignment Assignment) bool {
	return c.directory.Endpoint(assignment.Endpoint.ID) == assignment.status
}

// Finish removes a request from the in-flight counts. missing reports that the endpoint did not hold the adapter.
func (c *Coordinator) Finish(request *deployment.Request, assignment Assignment, outcome directory.Outcome, missing bool) {
	c.loop.Post(func(now time.Time) {
		c.endRequest(now, assignment, request, outcome)
		if c.waiters.Len() > 0 && c.isBrittle(request.Service) {
			// Another request of this instance takes the place at once, before the others count it as free.
			c.reviewWaiters(now)
		}
		if missing && c.sameIncarnation(assignment) {
			c.directory.MarkMissing(now, assignment.Endpoint.ID, request.Adapter)
			c.missing = append(c.missing, wire.Copy{ID: assignment.Endpoint.ID, Model: request.Adapter.Model, Name: request.Adapter.Name})
		}
	})
}
