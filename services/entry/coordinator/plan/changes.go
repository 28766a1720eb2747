// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// Changes are the changes since the last view.
type Changes struct {
	// Endpoints are those whose description or copies changed, Removed are the removed ones.
	Endpoints map[deployment.EndpointID]bool
	Removed   []wire.RemovedEndpoint
	// StartedLoads are the adapter loads that started.
	StartedLoads []wire.Forecast
	// BaseModelLoadStarted reports that the load of a base model started.
	BaseModelLoadStarted bool
}

// Changes returns the changes since the last view. The caller must not modify them.
func (p *Plans) Changes() *Changes {
	return &p.changes
}

// Empty reports whether nothing has changed.
func (c *Changes) Empty() bool {
	return len(c.Endpoints) == 0 && len(c.Removed) == 0 && len(c.StartedLoads) == 0 && !c.BaseModelLoadStarted
}

// MarkSent discards the changes. It is called after a view with them was sent.
func (p *Plans) MarkSent() {
	clear(p.changes.Endpoints)
	p.changes.Removed, p.changes.StartedLoads, p.changes.BaseModelLoadStarted = nil, nil, false
}

// Forecasts returns the loads under way and, by service, the expected time until an adapter that has not been requested yet could be
// resident.
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
