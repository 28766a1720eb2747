// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/plan"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// formerLoads is what is known of the base models' loads that the planner of a term began, and the planners before it.
type formerLoads struct {
	// term is the planner's; 0 if there is nothing to be learned of it any more.
	term  int64
	loads plan.AssumedLoads
	// heard tells that a view told the loads; without it none may begin.
	heard bool
}

// noteLoads remembers what a view of the planner told of its loads.
func (c *Coordinator) noteLoads(now time.Time, v *wire.View) {
	if v.RecentLoads != nil {
		c.heardLoads = formerLoads{term: v.Term, loads: plan.AssumedLoads{Count: *v.RecentLoads, At: now}, heard: true}
	}
}

// noteOwnLoads remembers the loads of this instance's own plan, which ends.
func (c *Coordinator) noteOwnLoads(now time.Time, p *planning) {
	own := plan.AssumedLoads{Count: p.plans.RecentLoads(now), At: now}
	c.heardLoads = formerLoads{term: p.lease.Record().Term, loads: own, heard: true}
}

// loadsBefore gives what is known of the loads before a term that begins now, by the record that it replaced: a released
// one tells them, a view of its holder told them, or they are not known yet.
func (c *Coordinator) loadsBefore(now time.Time, replaced lease.Record) formerLoads {
	switch {
	case replaced.Term == 0:
		return formerLoads{}
	case replaced.Released:
		return formerLoads{loads: plan.AssumedLoads{Count: replaced.RecentLoads, At: now}}
	case c.heardLoads.term == replaced.Term:
		return c.heardLoads
	default:
		return formerLoads{term: replaced.Term, loads: plan.UnknownLoads(now)}
	}
}

// knownFormerLoads gives what this instance heard of the last planner's loads, for a new one; nil if it heard nothing.
func (c *Coordinator) knownFormerLoads(now time.Time) *wire.FormerLoads {
	if !c.heardLoads.heard {
		return nil
	}
	heard := c.heardLoads
	return &wire.FormerLoads{Term: heard.term, Count: heard.loads.Count, Age: now.Sub(heard.loads.At)}
}

// takeFormerLoads takes in what a member heard of the former planner's loads; the youngest word counts.
func (p *planning) takeFormerLoads(now time.Time, told *wire.FormerLoads) {
	if told == nil || told.Term == 0 || told.Term != p.former.term {
		return
	}
	at := now.Add(-told.Age)
	if p.former.heard && !at.After(p.former.loads.At) {
		return
	}
	p.former.heard, p.former.loads = true, plan.AssumedLoads{Count: told.Count, At: at}
	p.plans.SetAssumedLoads(p.former.loads)
}

// recentLoads gives the base models' loads begun in the last window, as a view tells them: never nil, which says that they are not told.
func (p *planning) recentLoads(now time.Time) *int {
	count := p.plans.RecentLoads(now)
	return &count
}
