// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// AssumedLoads are base models' loads that former planners may have begun: Count in the load window before At. They count
// against the weight store's bound until a window after At.
type AssumedLoads struct {
	Count int
	At    time.Time
}

// unknownLoads is a number of loads that no bound allows.
const unknownLoads = math.MaxInt32

// UnknownLoads are assumed where nobody told what former planners began before a time: no base model is loaded from the
// weight store for a window.
func UnknownLoads(at time.Time) AssumedLoads {
	return AssumedLoads{Count: unknownLoads, At: at}
}

// Assume replaces what is assumed of former planners' loads.
func (p *Plans) Assume(assumed AssumedLoads) {
	p.assumed = assumed
	for _, planner := range p.planners {
		planner.AssumeLoads(assumed.At, assumed.Count)
	}
}

// assumeLoadsOf keeps the loads that a plan which ends began in the last window, against the weight store's bound of one that begins.
func (p *Plans) assumeLoadsOf(now time.Time, ended *loading.Planner) {
	count := ended.RecentLoads(now)
	if count == 0 {
		return
	}
	if now.Before(p.assumed.At.Add(p.options.LoadWindow)) {
		count += p.assumed.Count
	}
	p.assumed = AssumedLoads{Count: min(count, unknownLoads), At: now}
}

// RecentLoads gives the base models' loads begun in the last window, by the service that began most, with those that
// former planners may have begun.
func (p *Plans) RecentLoads(now time.Time) int {
	count := 0
	for _, planner := range p.planners {
		count = max(count, planner.RecentLoads(now))
	}
	if now.Before(p.assumed.At.Add(p.options.LoadWindow)) {
		count += p.assumed.Count
	}
	return min(count, unknownLoads)
}
