// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// firstModelPollDelay is the delay before the first poll for the end of a base model load. A shorter delay wastes
// calls on loads that take longer; a longer one leaves the endpoint idle.
const firstModelPollDelay = 400 * time.Millisecond

// nextModelLoad orders a base model for an endpoint that holds none, for example after the endpoint restarted. Models
// in the endpoint's own cache are loaded at once; loads from the weight store run one at a time.
func (p *Planner) nextModelLoad(now time.Time) (Order, bool) {
	storeAllowed := p.coldModelLoads() == 0 && p.modelLimiter.allows(now)
	for _, plan := range p.endpoints {
		if len(plan.endpoint.Models) > 0 || len(plan.copies) > 0 || !plan.availableWithoutInspection(now) {
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
				p.modelLimiter.record(now)
			}
			adapter := deployment.Adapter{Model: model.Name}
			plan.copies[adapter] = &copyPlan{state: copyLoading, since: now, cold: !cached, pollAt: now.Add(firstModelPollDelay)}
			return p.order(Load, plan, adapter), true
		}
	}
	return Order{}, false
}

// mergeModels returns the base models of a description, plus those in the plan that the description lacks. The
// description may predate their load, so only the endpoint's report can remove them; loading a second base model next
// to an existing one would exceed the memory.
func (e *endpointPlan) mergeModels(now time.Time, described []string) []string {
	models := slices.Clone(described)
	for _, model := range e.endpoint.Models {
		if slices.Contains(described, model) {
			continue
		}
		models = append(models, model)
		if now.Sub(e.modelLoadedAt) >= descriptionLag {
			e.modelsUnconfirmed, e.needsInspection = true, true
		}
	}
	return models
}

// applyReportedModels merges the base models that a report lists into the plan. While a base model order is in
// progress, missing models are not removed, because the list may be about to change.
func (p *Planner) applyReportedModels(now time.Time, plan *endpointPlan, report *Report) {
	if plan.modelsUnconfirmed && !report.Busy {
		plan.endpoint.Models = slices.Clone(report.Models)
		plan.modelsUnconfirmed = false
	}
	for _, model := range report.Models {
		p.addModel(now, plan, model)
	}
}

// isLoadingUnplannedModel reports whether an endpoint without a base model is loading one that the plan did not order
// or whose order was not answered. A second base model must not be ordered in the meantime.
func (e *endpointPlan) isLoadingUnplannedModel(report *Report) bool {
	if !report.Busy || len(e.endpoint.Models) > 0 {
		return false
	}
	for adapter := range e.copies {
		if adapter.IsZero() {
			return false
		}
	}
	return true
}

// coldModelLoads returns the number of base models being loaded from the weight store.
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
