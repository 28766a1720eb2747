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

// allocation is what the planner keeps to allocate the requests that endpoints' limits allow.
type allocation struct {
	allocator *limit.Allocator
	// grants were not told yet.
	grants []wire.Grant
	// told is the list of the last view that had one.
	told []wire.Limit
}

// takeLimits takes in what a report says of limits.
func (p *planning) takeLimits(now time.Time, r *wire.Report) {
	c := p.coordinator
	for _, one := range r.Limits {
		c.tellLimit(now, one)
	}
	for _, one := range r.Lifted {
		if status := c.directory.Endpoint(one.ID); status != nil {
			c.tellFree(now, status, now.Add(-one.Age))
		}
	}
	wants := make([]limit.Want, 0, len(r.Wants))
	for _, one := range r.Wants {
		wants = append(wants, limit.Want{Endpoint: one.ID, Waiting: one.Waiting})
	}
	p.allocation.allocator.Ask(now, r.Instance, wants)
}

// allocateLimits grants what the limits allow by now; the next view tells the members what they were granted.
func (p *planning) allocateLimits(now time.Time) {
	c, allocator := p.coordinator, p.allocation.allocator
	if len(c.limits.known) == 0 {
		return
	}
	present := func(instance string) bool { return instance == c.options.Instance || p.members.All()[instance] != nil }
	allocator.Keep(func(id deployment.EndpointID) bool { return c.limits.known[id] }, present)
	part := p.members.PresentShare()
	for id := range c.limits.known {
		status := c.directory.Endpoint(id)
		if status == nil || !status.Allowance.Binds() {
			continue
		}
		status.Allowance.SetAllocated(true, allocator.Waiting(now, id))
		for _, grant := range allocator.Allocate(now, id, status.Allowance.Rate()*part) {
			if grant.Instance == c.options.Instance {
				status.Allowance.Grant(now, grant.Count)
				continue
			}
			p.allocation.grants = append(p.allocation.grants, wire.Grant{ID: id, Instance: grant.Instance, Count: grant.Count})
		}
	}
	c.reviewLimits(now)
}

// limitList is all limits as views tell them.
func (p *planning) limitList(now time.Time) []wire.Limit {
	c := p.coordinator
	var list []wire.Limit
	for id := range c.limits.known {
		if status := c.directory.Endpoint(id); status != nil && status.Allowance.Binds() {
			named := &status.Allowance
			list = append(list, wire.Limit{
				ID: id, PerSecond: named.PerSecond(), Age: now.Sub(named.NamedAt()), Waiting: p.allocation.allocator.Waiting(now, id),
			})
		}
	}
	slices.SortFunc(list, func(a, b wire.Limit) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// limitsChanged tells whether members have not been told of a limit, of its value or of its end.
func (p *planning) limitsChanged(now time.Time) bool {
	same := func(a, b wire.Limit) bool { return a.ID == b.ID && a.PerSecond == b.PerSecond }
	return !slices.EqualFunc(p.limitList(now), p.allocation.told, same)
}

// tellLimits adds to a view of changes what was granted since the last one, and the limits, where they have changed or the view tells all.
func (p *planning) tellLimits(now time.Time, v *wire.View, all bool) {
	v.Grants, p.allocation.grants = p.allocation.grants, nil
	if !all && !p.limitsChanged(now) {
		return
	}
	p.allocation.told = p.limitList(now)
	v.Limits = &wire.LimitList{Limits: p.allocation.told}
}
