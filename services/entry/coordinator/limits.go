// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

// endpointLimits is this instance's state of the limits that endpoints report, in addition to the allowances in the
// directory.
type endpointLimits struct {
	// known are the endpoints with a limit.
	known map[deployment.EndpointID]bool
	// lifted are the limits that were lifted since the last report. Each value is the time at which the request was sent
	// whose response reported the end of the limit.
	lifted map[deployment.EndpointID]time.Time
	// usedServices are the services for which requests arrived since the last report. refusedRequests counts, for each
	// limit, the requests that were refused because of it since the last report, because their callers will retry.
	usedServices    map[string]bool
	refusedRequests map[deployment.EndpointID]int
}

func newEndpointLimits() endpointLimits {
	return endpointLimits{
		known: make(map[deployment.EndpointID]bool), lifted: make(map[deployment.EndpointID]time.Time), usedServices: make(map[string]bool),
		refusedRequests: make(map[deployment.EndpointID]int),
	}
}

// applyObservedLimit applies a change of a limit that this instance received itself, in the response to a request that was
// sent at the given time.
func (c *Coordinator) applyObservedLimit(now time.Time, status *directory.EndpointStatus, change limit.Change, sentAt time.Time) {
	if change == limit.Unchanged {
		return
	}
	if change == limit.Lifted {
		c.endpointLimits.lifted[status.ID] = sentAt
	} else {
		delete(c.endpointLimits.lifted, status.ID)
	}
	c.applyLimitChange(now, status, change, "answer")
	// The report informs the other instances before they get a response of their own.
	c.requestReport(now)
}

// applyLimitChange logs a change of a limit, whatever its source, and updates the allowances for the waiting requests.
func (c *Coordinator) applyLimitChange(now time.Time, status *directory.EndpointStatus, change limit.Change, source string) {
	entry := c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "source": source})
	switch change {
	case limit.Set:
		c.endpointLimits.known[status.ID] = true
		entry.WithField("per_second", status.Allowance.PerSecond()).Info("an endpoint takes a limited number of requests")
	case limit.Lifted:
		entry.Info("an endpoint takes requests without a limit again")
	}
	c.reviewLimits(now)
}

// reviewLimits updates this instance's allowances.
func (c *Coordinator) reviewLimits(now time.Time) {
	if len(c.endpointLimits.known) == 0 {
		return
	}
	fleet := limit.Fleet{PlannerReachable: c.planner != nil || c.follower.Fresh(now), Members: c.fleetSize(), Random: c.options.Random()}
	for id := range c.endpointLimits.known {
		status := c.directory.Endpoint(id)
		if status == nil || !status.Allowance.HasLimit() {
			delete(c.endpointLimits.known, id)
			continue
		}
		status.Allowance.Refresh(now, fleet)
	}
	c.limitedEndpoints.Store(int64(len(c.endpointLimits.known)))
}

// fleetSize returns the number of instances, or defaultMembers while it is not known.
func (c *Coordinator) fleetSize() int {
	if c.follower.Members > 0 {
		return c.follower.Members
	}
	return defaultMembers
}

// addLimitsToReport adds the limits that this instance knows and the requests that it wants to send to a report.
func (c *Coordinator) addLimitsToReport(now time.Time, r *wire.Report) {
	for id := range c.endpointLimits.known {
		if status := c.directory.Endpoint(id); status != nil {
			allowance := &status.Allowance
			r.Limits = append(r.Limits, wire.Limit{ID: id, PerSecond: allowance.PerSecond(), Age: now.Sub(allowance.ReportedAt())})
		}
	}
	for id, sentAt := range c.endpointLimits.lifted {
		r.Lifted = append(r.Lifted, wire.Lifted{ID: id, Age: now.Sub(sentAt)})
	}
	r.Wants = c.wants(now)
	clear(c.endpointLimits.lifted)
	clear(c.endpointLimits.usedServices)
	clear(c.endpointLimits.refusedRequests)
}

// recordServiceUse records that a request for a service arrived.
func (c *Coordinator) recordServiceUse(service string) {
	if len(c.endpointLimits.known) > 0 {
		c.endpointLimits.usedServices[service] = true
	}
}

// recordLimitRefusal counts a request that was refused because of a limit.
func (c *Coordinator) recordLimitRefusal(now time.Time, w *waiter) {
	if id, ok := c.limitAwaitedBy(now, w, c.endpointLimits.refusedRequests); ok {
		c.endpointLimits.refusedRequests[id]++
	}
}

// wants returns the endpoints with a limit to which this instance wants to send requests: waiting requests, requests that
// were refused, and, if the service is in use, requests whose responses show whether the limit is over.
func (c *Coordinator) wants(now time.Time) []wire.Want {
	if len(c.endpointLimits.known) == 0 {
		return nil
	}
	waiting := maps.Clone(c.endpointLimits.refusedRequests)
	for _, w := range c.waiters.All() {
		if id, ok := c.limitAwaitedBy(now, w, waiting); ok {
			waiting[id]++
		}
	}
	var wants []wire.Want
	for id := range c.endpointLimits.known {
		status := c.directory.Endpoint(id)
		if status != nil && (waiting[id] > 0 || (c.endpointLimits.usedServices[status.Service] && status.Allowance.NeedsGrant(now))) {
			wants = append(wants, wire.Want{ID: id, Waiting: waiting[id]})
		}
	}
	return wants
}

// limitAwaitedBy returns the endpoint whose limit a request is assumed to wait for. Of the endpoints that could run the
// request it is the one with the fewest requests in waiting.
func (c *Coordinator) limitAwaitedBy(now time.Time, w *waiter, waiting map[deployment.EndpointID]int) (deployment.EndpointID, bool) {
	if w.Verdict != balance.Limited {
		return "", false
	}
	var awaited deployment.EndpointID
	for _, status := range c.limitedEndpointsFor(now, w) {
		if awaited == "" || cmp.Or(cmp.Compare(waiting[status.ID], waiting[awaited]), cmp.Compare(status.ID, awaited)) < 0 {
			awaited = status.ID
		}
	}
	return awaited, awaited != ""
}

// couldRun reports whether an endpoint could run a request, regardless of whether it accepts one now.
func (c *Coordinator) couldRun(now time.Time, status *directory.EndpointStatus, w *waiter) bool {
	if status.Service != w.Service || status.State != deployment.Ready || slices.Contains(w.Tried, status.ID) || !w.MayRunAt(&status.Endpoint) {
		return false
	}
	return !w.UsesModel() || status.Holds(now, w.Adapter, c.versions.Latest(w.Adapter))
}

// limitedEndpointsFor returns the endpoints with a limit that could run a request. These are few compared with all
// endpoints of the service.
func (c *Coordinator) limitedEndpointsFor(now time.Time, w *waiter) []*directory.EndpointStatus {
	var list []*directory.EndpointStatus
	for id := range c.endpointLimits.known {
		if status := c.directory.Endpoint(id); status != nil && status.Allowance.HasLimit() && c.couldRun(now, status, w) {
			list = append(list, status)
		}
	}
	return list
}

// allLimitedOrResting reports whether each ready endpoint that may run a request has a request limit or asked for a rest.
func (c *Coordinator) allLimitedOrResting(now time.Time, w *waiter) bool {
	return !slices.ContainsFunc(c.directory.Service(w.Service), func(status *directory.EndpointStatus) bool {
		return status.State == deployment.Ready && w.MayRunAt(&status.Endpoint) && !status.Allowance.HasLimit() && !status.IsResting(now)
	})
}

// earliestSend returns when a request may be sent that waits for endpoints with limits or rests. It depends on the rates of
// the limits and the number of requests ahead, or on the first end of a rest. It is zero if another endpoint may become able to run
// the request before.
func (c *Coordinator) earliestSend(now time.Time, w *waiter) time.Time {
	if w.UsesModel() && !c.allLimitedOrResting(now, w) {
		return time.Time{}
	}
	byLimits, byRest := c.earliestSendByLimits(now, w), c.earliestRestEnd(now, w)
	if byLimits.IsZero() || (!byRest.IsZero() && byRest.Before(byLimits)) {
		return byRest
	}
	return byLimits
}

// earliestSendByLimits returns when the limits are expected to permit a request. It is zero if no limit binds.
func (c *Coordinator) earliestSendByLimits(now time.Time, w *waiter) time.Time {
	rate, ahead := 0.0, 0
	for _, status := range c.limitedEndpointsFor(now, w) {
		endpointRate, waiting := status.Allowance.ExpectedRate(c.fleetSize())
		rate += endpointRate
		ahead += waiting
	}
	own := 0
	for _, other := range c.waiters.All() {
		if other.Verdict == balance.Limited && other.Service == w.Service {
			own++
		}
	}
	if rate <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(float64(max(ahead, own)) / rate * float64(time.Second)))
}

// applyLimits applies the limits and the grants of a view.
func (c *Coordinator) applyLimits(now time.Time, v *wire.View) {
	c.applyLimitList(now, v)
	granted := now
	if made, known := c.follower.BuiltAfter(); known {
		granted = made
	}
	for _, grant := range v.Grants {
		if status := c.directory.Endpoint(grant.ID); status != nil && grant.Instance == c.options.Instance {
			status.Allowance.Grant(granted, grant.Count)
		}
	}
}

// applyLimitList applies the planner's list of all limits. A limit that the list no longer contains is over, unless this
// instance has received a newer value itself. A planner of the previous version does not allocate limits.
func (c *Coordinator) applyLimitList(now time.Time, v *wire.View) {
	if v.Limits == nil && !v.Heartbeat {
		return
	}
	listed := make(map[deployment.EndpointID]wire.Limit)
	if v.Limits != nil {
		for _, reported := range v.Limits.Limits {
			listed[reported.ID] = reported
			c.mergeLimit(now, reported)
		}
	}
	for id := range c.endpointLimits.known {
		status := c.directory.Endpoint(id)
		if status == nil {
			continue
		}
		reported, allocated := listed[id]
		if !allocated && status.Allowance.Allocated() && v.Limits != nil {
			c.mergeLiftedLimit(now, status, now.Add(-c.follower.Delay))
		}
		status.Allowance.SetAllocated(allocated, reported.Waiting)
	}
	c.reviewLimits(now)
}

// mergeLimit applies a limit that another instance received.
func (c *Coordinator) mergeLimit(now time.Time, reported wire.Limit) {
	status := c.directory.Endpoint(reported.ID)
	if status == nil {
		return
	}
	if change := status.Allowance.MergeReport(reported.PerSecond, now.Add(-reported.Age)); change != limit.Unchanged {
		c.applyLimitChange(now, status, change, "peer")
	}
}

// mergeLiftedLimit applies the end of a limit that another instance received in the response to a request that it sent at
// the given time.
func (c *Coordinator) mergeLiftedLimit(now time.Time, status *directory.EndpointStatus, sentAt time.Time) {
	if change := status.Allowance.MergeLift(sentAt); change != limit.Unchanged {
		c.applyLimitChange(now, status, change, "peer")
	}
}
