// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// News is what changed since the last view.
type News struct {
	// Changed are endpoints whose description or copies changed, Removed those that left.
	Changed map[deployment.EndpointID]bool
	Removed []wire.Gone
	// Begun are the loads that began.
	Begun []wire.Forecast
}

// News gives what changed since the last view; the caller must not change it.
func (p *Plans) News() *News {
	return &p.news
}

// Empty tells whether nothing changed.
func (n *News) Empty() bool {
	return len(n.Changed) == 0 && len(n.Removed) == 0 && len(n.Begun) == 0
}

// TakeBegun gives the loads that began and forgets them.
func (p *Plans) TakeBegun() []wire.Forecast {
	begun := p.news.Begun
	p.news.Begun = nil
	return begun
}

// Told forgets the changes of endpoints, since a view with them went out.
func (p *Plans) Told() {
	clear(p.news.Changed)
	p.news.Removed = nil
}

// Forecasts gives the loads under way and, by service, when an adapter would be resident that nobody has asked for
// yet.
func (p *Plans) Forecasts(now time.Time) (loads []wire.Forecast, backlogs map[string]time.Duration) {
	backlogs = make(map[string]time.Duration, len(p.planners))
	for name, planner := range p.planners {
		forecasts, backlog := planner.Forecasts(now)
		backlogs[name] = backlog
		for _, one := range forecasts {
			loads = append(loads, wire.Forecast{Service: name, Model: one.Adapter.Model, Name: one.Adapter.Name, Until: one.Until})
		}
	}
	return loads, backlogs
}
