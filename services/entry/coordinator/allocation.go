// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

// limitAllocation is the planner's state for the allocation of the requests that the endpoints' limits allow.
type limitAllocation struct {
	allocator *limit.Allocator
	// grants are the grants that no view has contained yet.
	grants []wire.Grant
	// announced is the list of limits in the last view that contained one.
	announced []wire.Limit
}

// mergeReportedLimits merges the limits, lifted limits and demands for requests of a report.
func (p *planner) mergeReportedLimits(now time.Time, r *wire.Report) {
	c := p.coordinator
	for _, reported := range r.Limits {
		c.mergeLimit(now, reported)
	}
	for _, reported := range r.Lifted {
		if status := c.directory.Endpoint(reported.ID); status != nil {
			c.mergeLiftedLimit(now, status, now.Add(-reported.Age))
		}
	}
	wants := make([]limit.Demand, 0, len(r.Wants))
	for _, reported := range r.Wants {
		wants = append(wants, limit.Demand{Endpoint: reported.ID, Waiting: reported.Waiting})
	}
	p.limitAllocation.allocator.SetDemand(now, r.Instance, wants)
}

// allocateLimits grants the requests that the limits allow by now. The next view carries the grants to the members.
func (p *planner) allocateLimits(now time.Time) {
	c, allocator := p.coordinator, p.limitAllocation.allocator
	if len(c.endpointLimits.known) == 0 {
		return
	}
	present := func(instance string) bool { return instance == c.options.Instance || p.members.All()[instance] != nil }
	allocator.Retain(func(id deployment.EndpointID) bool { return c.endpointLimits.known[id] }, present)
	part := p.members.PresentShare()
	for id := range c.endpointLimits.known {
		status := c.directory.Endpoint(id)
		if status == nil || !status.Allowance.HasLimit() {
			continue
		}
		status.Allowance.SetAllocated(true, allocator.Waiting(now, id))
		for _, grant := range allocator.Allocate(now, id, status.Allowance.Rate()*part) {
			if grant.Instance == c.options.Instance {
				status.Allowance.Grant(now, grant.Count)
				continue
			}
			p.limitAllocation.grants = append(p.limitAllocation.grants, wire.Grant{ID: id, Instance: grant.Instance, Count: grant.Count})
		}
	}
	c.reviewLimits(now)
}

// currentLimits returns all limits for a view, sorted by endpoint.
func (p *planner) currentLimits(now time.Time) []wire.Limit {
	c := p.coordinator
	var list []wire.Limit
	for id := range c.endpointLimits.known {
		if status := c.directory.Endpoint(id); status != nil && status.Allowance.HasLimit() {
			allowance := &status.Allowance
			list = append(list, wire.Limit{
				ID: id, PerSecond: allowance.PerSecond(), Age: now.Sub(allowance.ReportedAt()), Waiting: p.limitAllocation.allocator.Waiting(now, id),
			})
		}
	}
	slices.SortFunc(list, func(a, b wire.Limit) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// limitsChanged reports whether a limit was set, changed or lifted since the last view that contained the limits.
func (p *planner) limitsChanged(now time.Time) bool {
	equal := func(a, b wire.Limit) bool { return a.ID == b.ID && a.PerSecond == b.PerSecond }
	return !slices.EqualFunc(p.currentLimits(now), p.limitAllocation.announced, equal)
}

// addLimitChanges adds to a view the grants since the last view. It also adds all limits if they have changed or if all is
// true.
func (p *planner) addLimitChanges(now time.Time, v *wire.View, all bool) {
	v.Grants, p.limitAllocation.grants = p.limitAllocation.grants, nil
	if !all && !p.limitsChanged(now) {
		return
	}
	p.limitAllocation.announced = p.currentLimits(now)
	v.Limits = &wire.LimitList{Limits: p.limitAllocation.announced}
}
