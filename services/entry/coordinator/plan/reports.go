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

// ApplyMemberReport applies the member state of a report and reports whether the sender is a member. The planner itself is none.
func (p *Plans) ApplyMemberReport(now time.Time, r *wire.Report) bool {
	for _, id := range p.members.ApplyReport(now, r) {
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
		planner.SetSuspect(id, p.isSuspect(now, id))
	}
}

// ApplyDemand applies the demand of a report, which replaces the earlier demand of the instance.
func (p *Plans) ApplyDemand(now time.Time, r *wire.Report) {
	demands := demandsByService(r.Demands)
	addPinnedDemands(demands, r.Pinned)
	for name, planner := range p.planners {
		planner.Report(now, r.Instance, demands[name])
	}
	p.applyRates(now, r)
	for _, copied := range r.Missing {
		for _, planner := range p.planners {
			planner.RequestInspection(copied.ID)
		}
	}
	for _, copied := range r.Recalled {
		for _, planner := range p.planners {
			planner.RecordRecall(copied.ID, deployment.Adapter{Model: copied.Model, Name: copied.Name})
		}
	}
}

// applyRates applies the arrival rates that an instance measured before this plan, once per instance: a member sends its rates
// again over each new link, when they include arrivals that this plan has already counted.
func (p *Plans) applyRates(now time.Time, r *wire.Report) {
	if len(r.Rates) == 0 || len(p.planners) == 0 || p.ratesApplied[r.Instance] {
		return
	}
	members := p.members.All()
	maps.DeleteFunc(p.ratesApplied, func(instance string, _ bool) bool { return members[instance] == nil })
	p.ratesApplied[r.Instance] = true
	for name, rates := range ratesByService(r.Rates) {
		if planner, ok := p.planners[name]; ok {
			planner.AddRates(now, rates)
		}
	}
}

// CountArrivals adds arrivals that were sent outside the instances' reports.
func (p *Plans) CountArrivals(now time.Time, arrivals []wire.Demand) {
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
			Waiting: demand.Waiting, InTime: demand.InTime, Arrivals: demand.Arrivals, PromptTokens: demand.PromptTokens,
		})
	}
	return byService
}

// addPinnedDemands adds the demand of requests that only the endpoints of one software may run.
func addPinnedDemands(byService map[string][]loading.Demand, list []wire.PinnedDemand) {
	for _, demand := range list {
		byService[demand.Service] = append(byService[demand.Service], loading.Demand{
			Adapter: deployment.Adapter{Model: demand.Model, Name: demand.Name}, Software: demand.Software,
			Waiting: demand.Waiting, InTime: demand.InTime,
		})
	}
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
