// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// hasRestarted reports whether a description is of a later incarnation than the plan's.
func (e *endpointPlan) hasRestarted(described *deployment.Endpoint, revision int64) bool {
	return e.endpoint.IsOtherIncarnation(described.Born) && revision > e.revision && !described.Born.Equal(e.previousBorn)
}

// describesOtherIncarnation reports whether a description is of a different incarnation than the plan's, which after
// planFor can only be an earlier one.
func (e *endpointPlan) describesOtherIncarnation(described *deployment.Endpoint) bool {
	return e.endpoint.IsOtherIncarnation(described.Born)
}

// replaceRestarted replaces the plan of an endpoint that restarted with the same ID. The new incarnation holds
// nothing and has accepted no orders.
func (p *Planner) replaceRestarted(now time.Time, former *endpointPlan, born time.Time) *endpointPlan {
	plan := former.planAfterRestart(now, born)
	id := plan.endpoint.ID
	if p.endpoints[id] == former {
		p.endpoints[id] = plan
	} else {
		p.unregistered[id] = plan
	}
	p.changed[id] = true
	return plan
}

// planAfterRestart returns the plan of the endpoint's next incarnation. Orders sent to the previous incarnation name
// the same endpoint ID, so the new one carries out those that arrive late and happen to name its current sequence.
// Places are therefore reserved for the unanswered loads, including that of the order in flight and a former
// planner's last load.
func (e *endpointPlan) planAfterRestart(now time.Time, born time.Time) *endpointPlan {
	endpoint := e.endpoint
	endpoint.Born, endpoint.Software, endpoint.Models, endpoint.CachedModels, endpoint.Adapters = born, "", nil, nil, nil
	plan := newEndpointPlan(endpoint)
	plan.previousBorn = e.endpoint.Born
	plan.revision = e.revision
	plan.needsInspection = true
	plan.orderInFlight = e.orderInFlight
	plan.reportRead, plan.formerLoad = e.reportRead, e.formerLoad
	for _, load := range e.unansweredLoads {
		if now.Before(load.until) {
			plan.unansweredLoads = append(plan.unansweredLoads, load)
		}
	}
	return plan
}

// handleResultFromBeforeRestart handles the result of an order that was sent to an earlier incarnation than the
// plan's. The endpoint's report shows whether the order had an effect.
func (e *endpointPlan) handleResultFromBeforeRestart(now time.Time, result Result) {
	if result.Order.Kind == Load && result.Reply != NotDelivered {
		e.addUnansweredLoad(now, result.Order.ExpectedSequence)
	}
	e.needsInspection = true
}
