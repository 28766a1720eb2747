// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// Changes is what changed since the last view.
type Changes struct {
	// Endpoints are those whose description or copies changed, Removed those that left.
	Endpoints map[deployment.EndpointID]bool
	Removed   []wire.Gone
	// Begun are the loads that began.
	Begun []wire.Forecast
	// ModelBegun tells that a base model's load began.
	ModelBegun bool
}

// Changes gives what changed since the last view; the caller must not change it.
func (p *Plans) Changes() *Changes {
	return &p.changes
}

// Empty tells whether nothing changed.
func (c *Changes) Empty() bool {
	return len(c.Endpoints) == 0 && len(c.Removed) == 0 && len(c.Begun) == 0 && !c.ModelBegun
}

// Sent forgets all changes, since a view with them went out.
func (p *Plans) Sent() {
	clear(p.changes.Endpoints)
	p.changes.Removed, p.changes.Begun, p.changes.ModelBegun = nil, nil, false
}

// Forecasts gives the loads under way and, by service, when an adapter would be resident that nobody has asked for
// yet.
func (p *Plans) Forecasts(now time.Time) (loads []wire.Forecast, backlogs map[string]time.Duration) {
	backlogs = make(map[string]time.Duration, len(p.planners))
	for name, planner := range p.planners {
		forecasts, backlog := planner.Forecasts(now)
		backlogs[name] = backlog
		for _, forecast := range forecasts {
			loads = append(loads, wire.Forecast{Service: name, Model: forecast.Adapter.Model, Name: forecast.Adapter.Name, Remaining: forecast.Remaining})
		}
	}
	return loads, backlogs
}
