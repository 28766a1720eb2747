// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/plan"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// formerLoads is what is known of the base-model loads that the planner of a term and its predecessors began.
type formerLoads struct {
	// term is the term of that planner. It is 0 if nothing more can be learned about its loads.
	term  int64
	loads plan.AssumedLoads
	// known reports that the load count came from a view. Without it no base-model load may begin.
	known bool
}

// recordPlannerLoads stores the load count of a view of the planner.
func (c *Coordinator) recordPlannerLoads(now time.Time, v *wire.View) {
	if v.RecentLoads != nil {
		c.lastPlannerLoads = formerLoads{term: v.Term, loads: plan.AssumedLoads{Count: *v.RecentLoads, At: now}, known: true}
	}
}

// recordOwnLoads stores the load count of this instance's own plan, which ends.
func (c *Coordinator) recordOwnLoads(now time.Time, p *planner) {
	own := plan.AssumedLoads{Count: p.plans.RecentLoads(now), At: now}
	c.lastPlannerLoads = formerLoads{term: p.lease.Record().Term, loads: own, known: true}
}

// loadsBeforeTerm returns what is known of the loads before a term that begins now. The count is in the replaced record if
// that record was released. Otherwise it comes from a view of the record's holder, or it is not known yet.
func (c *Coordinator) loadsBeforeTerm(now time.Time, replaced lease.Record) formerLoads {
	switch {
	case replaced.Term == 0:
		return formerLoads{}
	case replaced.Released:
		return formerLoads{loads: plan.AssumedLoads{Count: replaced.RecentLoads, At: now}}
	case c.lastPlannerLoads.term == replaced.Term:
		return c.lastPlannerLoads
	default:
		return formerLoads{term: replaced.Term, loads: plan.UnknownLoads(now)}
	}
}

// formerLoadsToReport returns the last planner's loads for the report to a new planner. It returns nil if no load count
// was received.
func (c *Coordinator) formerLoadsToReport(now time.Time) *wire.FormerLoads {
	if !c.lastPlannerLoads.known {
		return nil
	}
	known := c.lastPlannerLoads
	return &wire.FormerLoads{Term: known.term, Count: known.loads.Count, Age: now.Sub(known.loads.At)}
}

// mergeFormerLoads applies a load count of the former planner that a member received. The newest count wins.
func (p *planner) mergeFormerLoads(now time.Time, reported *wire.FormerLoads) {
	if reported == nil || reported.Term == 0 || reported.Term != p.formerTermLoads.term {
		return
	}
	countedAt := now.Add(-reported.Age)
	if p.formerTermLoads.known && !countedAt.After(p.formerTermLoads.loads.At) {
		return
	}
	p.formerTermLoads.known, p.formerTermLoads.loads = true, plan.AssumedLoads{Count: reported.Count, At: countedAt}
	p.plans.SetAssumedLoads(p.formerTermLoads.loads)
}

// recentLoads returns the number of base-model loads that began within the last window, for a view. It is never nil,
// because nil in a view means that the count is not given.
func (p *planner) recentLoads(now time.Time) *int {
	count := p.plans.RecentLoads(now)
	return &count
}
