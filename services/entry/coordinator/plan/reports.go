// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// TakeMember takes in what a report says of its instance, and tells whether that is a member; the planner itself
// is none.
func (p *Plans) TakeMember(now time.Time, r *wire.Report) bool {
	for _, id := range p.members.Take(now, r) {
		p.refreshSuspicion(now, id)
	}
	return p.members.All()[r.Instance] != nil
}

func (p *Plans) refreshSuspicion(now time.Time, id deployment.EndpointID) {
	status := p.directory.Endpoint(id)
	if status == nil {
		return
	}
	if planner, ok := p.planners[status.Service]; ok {
		planner.SetSuspect(id, p.bad(now, id))
	}
}

// TakeDemand takes in what a report asks for. It replaces what the instance asked for before.
func (p *Plans) TakeDemand(now time.Time, r *wire.Report) {
	demands := demandsByService(r.Demands)
	for name, planner := range p.planners {
		planner.Report(now, r.Instance, demands[name])
	}
	p.takeRates(now, r)
	for _, copied := range r.Missing {
		for _, planner := range p.planners {
			planner.RequestInspection(copied.ID)
		}
	}
}

// takeRates takes in an instance's arrival rates from before this plan, once: a member tells them anew over each new link,
// and its arrivals since the first are counted already.
func (p *Plans) takeRates(now time.Time, r *wire.Report) {
	if len(r.Rates) == 0 || len(p.planners) == 0 || p.rated[r.Instance] {
		return
	}
	members := p.members.All()
	maps.DeleteFunc(p.rated, func(instance string, _ bool) bool { return members[instance] == nil })
	p.rated[r.Instance] = true
	for name, rates := range ratesByService(r.Rates) {
		if planner, ok := p.planners[name]; ok {
			planner.AddRates(now, rates)
		}
	}
}

// TakeArrivals takes in what was asked for at some instances, beside their reports.
func (p *Plans) TakeArrivals(now time.Time, arrivals []wire.Demand) {
	for service, demands := range demandsByService(arrivals) {
		if planner, ok := p.planners[service]; ok {
			planner.AddArrivals(now, demands)
		}
	}
}

func demandsByService(list []wire.Demand) map[string][]loading.Demand {
	byService := make(map[string][]loading.Demand)
	for _, demand := range list {
		byService[demand.Service] = append(byService[demand.Service], loading.Demand{
			Adapter: deployment.Adapter{Model: demand.Model, Name: demand.Name},
			Waiting: demand.Waiting, InTime: demand.InTime, Arrivals: demand.Arrivals, Prompts: demand.Prompts,
		})
	}
	return byService
}

func ratesByService(list []wire.Rate) map[string]map[deployment.Adapter]float64 {
	byService := make(map[string]map[deployment.Adapter]float64)
	for _, rate := range list {
		rates, ok := byService[rate.Service]
		if !ok {
			rates = make(map[deployment.Adapter]float64)
			byService[rate.Service] = rates
		}
		rates[deployment.Adapter{Model: rate.Model, Name: rate.Name}] = rate.PerSecond
	}
	return byService
}
