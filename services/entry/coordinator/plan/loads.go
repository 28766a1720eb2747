// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// AssumedLoads are base-model loads that former planners may have started: Count loads in the load window before At. They count
// against the limit of the weight store until one window after At.
type AssumedLoads struct {
	Count int
	At    time.Time
}

// unknownLoads is a number of loads that exceeds any limit.
const unknownLoads = math.MaxInt32

// UnknownLoads returns the assumption for unknown loads of former planners before a time: no base model is loaded from the weight
// store for one window.
func UnknownLoads(at time.Time) AssumedLoads {
	return AssumedLoads{Count: unknownLoads, At: at}
}

// SetAssumedLoads replaces the assumed loads of former planners.
func (p *Plans) SetAssumedLoads(assumed AssumedLoads) {
	p.assumed = assumed
	for _, planner := range p.planners {
		planner.AssumeLoads(assumed.At, assumed.Count)
	}
}

// assumeLoadsOf adds the loads that an ending service plan started in the last window to the assumed loads, so that they count
// against the limit of the weight store for service plans that start later.
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

// RecentLoads returns the base-model loads in the last window: those of the service that started most, plus those that former
// planners may have started.
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
