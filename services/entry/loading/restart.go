// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// startedAnew tells whether a description is of a later start than the plan's.
func (e *endpointPlan) startedAnew(described *deployment.Endpoint, revision int64) bool {
	return e.endpoint.IsOtherIncarnation(described.Born) && revision > e.revision && !described.Born.Equal(e.formerBorn)
}

// isFormer tells whether a description is of an earlier start than the plan's.
func (e *endpointPlan) isFormer(described *deployment.Endpoint) bool {
	return e.endpoint.IsOtherIncarnation(described.Born)
}

// restart begins the plan of an endpoint anew, which came back under its name: it holds nothing, and has taken no order.
func (p *Planner) restart(now time.Time, former *endpointPlan, born time.Time) *endpointPlan {
	plan := former.successor(now, born)
	id := plan.endpoint.ID
	if p.endpoints[id] == former {
		p.endpoints[id] = plan
	} else {
		p.lapsed[id] = plan
	}
	p.changed[id] = true
	return plan
}

// successor gives the plan of the endpoint's next start. Orders to the former one name the same endpoint and the count of its orders,
// so that the next one carries those out which arrive late and happen to name its own count: their places are kept as for loads
// without an answer, that of the order under way as well, and
// that of a former planner's last one.
func (e *endpointPlan) successor(now time.Time, born time.Time) *endpointPlan {
	endpoint := e.endpoint
	endpoint.Born, endpoint.Models, endpoint.CachedModels, endpoint.Adapters = born, nil, nil, nil
	plan := newEndpointPlan(endpoint)
	plan.formerBorn = e.endpoint.Born
	plan.revision = e.revision
	plan.inspect = true
	plan.busy = e.busy
	plan.reportRead, plan.former = e.reportRead, e.former
	for _, load := range e.unanswered {
		if now.Before(load.until) {
			plan.unanswered = append(plan.unanswered, load)
		}
	}
	return plan
}

// doneWithFormer takes in the end of an order that was sent to an earlier start than the plan's; what it brought, if anything, is
// told by the endpoint's report.
func (e *endpointPlan) doneWithFormer(now time.Time, result Result) {
	if result.Order.Kind == Load && result.Reply != NotDelivered {
		e.addUnanswered(now, result.Order.ExpectedSequence)
	}
	e.inspect = true
}
