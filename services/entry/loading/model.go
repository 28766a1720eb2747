// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// modelPoll is when to ask first whether a base model has come. Sooner wastes calls on loads that take longer, later
// leaves the endpoint without work. Not measured.
const modelPoll = 400 * time.Millisecond

// nextModel brings a base model to an endpoint that holds none, as after its restart. Copies that
// endpoints have themselves come at once; from the weight store they come one after the other.
func (p *Planner) nextModel(now time.Time) (Order, bool) {
	storeAllowed := p.coldModelLoads() == 0 && p.modelLimiter.allows(now)
	for _, plan := range p.endpoints {
		if len(plan.endpoint.Models) > 0 || len(plan.copies) > 0 || !plan.available(now) || plan.inspect {
			continue
		}
		for _, model := range p.engine.Models {
			if model.WeightsMB > p.engine.WeightsMB {
				continue
			}
			cached := slices.Contains(plan.endpoint.CachedModels, model.Name)
			if !cached && !storeAllowed {
				continue
			}
			if !cached {
				p.modelLimiter.begin(now)
			}
			adapter := deployment.Adapter{Model: model.Name}
			plan.copies[adapter] = &copyPlan{state: copyLoading, since: now, cold: !cached, pollAt: now.Add(modelPoll)}
			return p.order(Load, plan, adapter), true
		}
	}
	return Order{}, false
}

// coldModelLoads counts the base models on their way from the weight store.
func (p *Planner) coldModelLoads() int {
	count := 0
	for _, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			if adapter.IsZero() && c.state == copyLoading && c.cold {
				count++
			}
		}
	}
	return count
}
