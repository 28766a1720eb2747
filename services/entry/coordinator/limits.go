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

// limits is what this instance keeps of the limits that endpoints name, beside the allowances in the directory.
type limits struct {
	// known are the endpoints with a limit.
	known map[deployment.EndpointID]bool
	// lifted are the limits that were heard to be over since the last report, and when the requests were sent whose answers told it.
	lifted map[deployment.EndpointID]time.Time
	// used are the services that were asked for since the last report, and missed how many requests were refused since then for want of
	// each limit: their callers come back.
	used   map[string]bool
	missed map[deployment.EndpointID]int
}

func newLimits() limits {
	return limits{
		known: make(map[deployment.EndpointID]bool), lifted: make(map[deployment.EndpointID]time.Time), used: make(map[string]bool),
		missed: make(map[deployment.EndpointID]int),
	}
}

// noteLimit carries out a change that this instance heard itself, by the answer to a request that was sent at a time.
func (c *Coordinator) noteLimit(now time.Time, status *directory.EndpointStatus, change limit.Change, sent time.Time) {
	if change == limit.Unchanged {
		return
	}
	if change == limit.Lifted {
		c.limits.lifted[status.ID] = sent
	} else {
		delete(c.limits.lifted, status.ID)
	}
	c.changeLimit(now, status, change, "answer")
	// The others hear of it before their own first answers.
	c.reportSoon(now)
}

// changeLimit logs a change, wherever it was heard, and has what waits profit from it.
func (c *Coordinator) changeLimit(now time.Time, status *directory.EndpointStatus, change limit.Change, source string) {
	entry := c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "source": source})
	switch change {
	case limit.Set:
		c.limits.known[status.ID] = true
		entry.WithField("per_second", status.Allowance.PerSecond()).Info("an endpoint takes a limited number of requests")
	case limit.Lifted:
		entry.Info("an endpoint takes requests without a limit again")
	}
	c.reviewLimits(now)
}

// reviewLimits brings this instance's allowances up to date.
func (c *Coordinator) reviewLimits(now time.Time) {
	if len(c.limits.known) == 0 {
		return
	}
	fleet := limit.Fleet{PlannerHeard: c.planning != nil || c.following.Fresh(now), Members: c.fleetSize(), Random: c.options.Random()}
	for id := range c.limits.known {
		status := c.directory.Endpoint(id)
		if status == nil || !status.Allowance.Binds() {
			delete(c.limits.known, id)
			continue
		}
		status.Allowance.Review(now, fleet)
	}
	c.limited.Store(int64(len(c.limits.known)))
}

// fleetSize is the number of instances, as far as it is known.
func (c *Coordinator) fleetSize() int {
	if c.following.Members > 0 {
		return c.following.Members
	}
	return assumedMembers
}

// addLimits tells in a report which limits this instance knows, and what it wants to send.
func (c *Coordinator) addLimits(now time.Time, built *wire.Report) {
	for id := range c.limits.known {
		if status := c.directory.Endpoint(id); status != nil {
			named := &status.Allowance
			built.Limits = append(built.Limits, wire.Limit{ID: id, PerSecond: named.PerSecond(), Age: now.Sub(named.NamedAt())})
		}
	}
	for id, sent := range c.limits.lifted {
		built.Lifted = append(built.Lifted, wire.Lifted{ID: id, Age: now.Sub(sent)})
	}
	built.Wants = c.wants(now)
	clear(c.limits.lifted)
	clear(c.limits.used)
	clear(c.limits.missed)
}

// noteUsed notes that a service is asked for.
func (c *Coordinator) noteUsed(service string) {
	if len(c.limits.known) > 0 {
		c.limits.used[service] = true
	}
}

// noteMissed notes that a request was refused for want of a limit.
func (c *Coordinator) noteMissed(now time.Time, w *waiter) {
	if id, ok := c.wantedBy(now, w, c.limits.missed); ok {
		c.limits.missed[id]++
	}
}

// wants gives the endpoints with a limit to which this instance wants to send requests: for those that wait or were refused, and, so that
// it hears when a limit is over, where the service is in use.
func (c *Coordinator) wants(now time.Time) []wire.Want {
	if len(c.limits.known) == 0 {
		return nil
	}
	waiting := maps.Clone(c.limits.missed)
	for _, w := range c.waiters.All() {
		if id, ok := c.wantedBy(now, w, waiting); ok {
			waiting[id]++
		}
	}
	var wants []wire.Want
	for id := range c.limits.known {
		status := c.directory.Endpoint(id)
		if status != nil && (waiting[id] > 0 || (c.limits.used[status.Service] && status.Allowance.Wants(now))) {
			wants = append(wants, wire.Want{ID: id, Waiting: waiting[id]})
		}
	}
	return wants
}

// wantedBy gives the endpoint for whose limit a request is taken to wait: of those that could run it, the one with the fewest before it.
func (c *Coordinator) wantedBy(now time.Time, w *waiter, waiting map[deployment.EndpointID]int) (deployment.EndpointID, bool) {
	if w.Verdict != balance.Limited {
		return "", false
	}
	var wanted deployment.EndpointID
	for _, status := range c.limitedFor(now, w) {
		if wanted == "" || cmp.Or(cmp.Compare(waiting[status.ID], waiting[wanted]), cmp.Compare(status.ID, wanted)) < 0 {
			wanted = status.ID
		}
	}
	return wanted, wanted != ""
}

// couldRun tells whether an endpoint could run a request, whether or not it takes one now.
func (c *Coordinator) couldRun(now time.Time, status *directory.EndpointStatus, w *waiter) bool {
	if status.Service != w.Service || status.State != deployment.Ready || slices.Contains(w.Tried, status.ID) {
		return false
	}
	return !w.UsesModel() || status.Holds(now, w.Adapter, c.versions.Named(w.Adapter))
}

// limitedFor gives the endpoints with a limit that could run a request. They are few beside all of its service.
func (c *Coordinator) limitedFor(now time.Time, w *waiter) []*directory.EndpointStatus {
	var list []*directory.EndpointStatus
	for id := range c.limits.known {
		if status := c.directory.Endpoint(id); status != nil && status.Allowance.Binds() && c.couldRun(now, status, w) {
			list = append(list, status)
		}
	}
	return list
}

// allHeldBack tells whether each endpoint of a service has a limit or rests.
func (c *Coordinator) allHeldBack(now time.Time, service string) bool {
	return !slices.ContainsFunc(c.directory.Service(service), func(status *directory.EndpointStatus) bool {
		return status.State == deployment.Ready && !status.Allowance.Binds() && !status.IsResting(now)
	})
}

// turnOf gives when a request may be sent that endpoints hold back: by the rates that their limits allow and what waits before it, or when
// one has rested. It is zero where another endpoint may come to run it before.
func (c *Coordinator) turnOf(now time.Time, w *waiter) time.Time {
	if w.UsesModel() && !c.allHeldBack(now, w.Service) {
		return time.Time{}
	}
	limited, rested := c.limitTurn(now, w), c.restEnds(now, w)
	if limited.IsZero() || (!rested.IsZero() && rested.Before(limited)) {
		return rested
	}
	return limited
}

// limitTurn gives when limits may let a request be sent; zero where none binds.
func (c *Coordinator) limitTurn(now time.Time, w *waiter) time.Time {
	rate, ahead := 0.0, 0
	for _, status := range c.limitedFor(now, w) {
		one, others := status.Allowance.Expected(c.fleetSize())
		rate += one
		ahead += others
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

// applyLimits takes in the limits that the planner knows, and what it granted.
func (c *Coordinator) applyLimits(now time.Time, v *wire.View) {
	c.applyLimitList(now, v)
	granted := now
	if made, known := c.following.MadeAfter(); known {
		granted = made
	}
	for _, grant := range v.Grants {
		if status := c.directory.Endpoint(grant.ID); status != nil && grant.Instance == c.options.Instance {
			status.Allowance.Grant(granted, grant.Count)
		}
	}
}

// applyLimitList takes in all limits that the planner knows. One that it knew and does not know any more is over, unless this instance has
// heard of it since. A planner of the version before allocates none.
func (c *Coordinator) applyLimitList(now time.Time, v *wire.View) {
	if v.Limits == nil && !v.Heartbeat {
		return
	}
	listed := make(map[deployment.EndpointID]wire.Limit)
	if v.Limits != nil {
		for _, one := range v.Limits.Limits {
			listed[one.ID] = one
			c.tellLimit(now, one)
		}
	}
	for id := range c.limits.known {
		status := c.directory.Endpoint(id)
		if status == nil {
			continue
		}
		one, allocated := listed[id]
		if !allocated && status.Allowance.Allocated() && v.Limits != nil {
			c.tellFree(now, status, now.Add(-c.following.Delay))
		}
		status.Allowance.SetAllocated(allocated, one.Waiting)
	}
	c.reviewLimits(now)
}

// tellLimit takes in a limit that another instance heard of.
func (c *Coordinator) tellLimit(now time.Time, told wire.Limit) {
	status := c.directory.Endpoint(told.ID)
	if status == nil {
		return
	}
	if change := status.Allowance.Tell(told.PerSecond, now.Add(-told.Age)); change != limit.Unchanged {
		c.changeLimit(now, status, change, "peer")
	}
}

// tellFree takes in that another instance heard the end of a limit, in the answer to a request that it sent at a time.
func (c *Coordinator) tellFree(now time.Time, status *directory.EndpointStatus, sent time.Time) {
	if change := status.Allowance.TellFree(sent); change != limit.Unchanged {
		c.changeLimit(now, status, change, "peer")
	}
}
