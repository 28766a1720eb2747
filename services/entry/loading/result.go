// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// inspectAfterSilence is for how long after an unanswered order the loads of an endpoint are followed by its reports in place of polls.
	// Longer avoids polls that stay unanswered and notices the end of loads later.
	inspectAfterSilence = 4 * time.Second
	// answerRest is the pause before an endpoint is inspected whose answer was lost or whose report was old. Shorter asks again sooner,
	// before the endpoint may have carried the order out.
	answerRest = 150 * time.Millisecond
	// restAfterFailure is the pause before the next order to an endpoint after one failed. Shorter tries again sooner and spends more
	// orders on an endpoint that cannot take them.
	restAfterFailure = 300 * time.Millisecond
	// loadLimit is after how long a load or unload of an adapter that was accepted is looked into by a report, and the least pause between
	// two such reports. Shorter notices a lost load sooner; a load takes 0.35 s at twelve at once and 0.57 s at nineteen, so that shorter
	// would inspect sound ones.
	loadLimit = 1200 * time.Millisecond
	// modelLoadLimit is the same for a base model, which is larger.
	modelLoadLimit = 5 * time.Second
)

// Done takes in the end of an order.
func (p *Planner) Done(now time.Time, result Result) {
	plan, ok := p.endpoints[result.Order.Endpoint.ID]
	if !ok {
		plan, ok = p.lapsed[result.Order.Endpoint.ID]
		// Nobody is told of the copies of an endpoint without an entry.
		defer delete(p.changed, result.Order.Endpoint.ID)
	}
	if !ok {
		return
	}
	plan.busy = false
	if plan.endpoint.IsOtherIncarnation(result.Order.Endpoint.Born) {
		plan.doneWithFormer(now, result)
		return
	}
	switch result.Order.Kind {
	case Inspect:
		p.inspected(now, plan, result)
	case Load:
		p.loaded(now, plan, result)
	case Unload:
		p.unloaded(now, plan, result)
	}
}

// inspected takes in the end of an inspection: with a report, what the endpoint holds; without one, or with one older than
// the results of own orders, it is asked again after a pause.
func (p *Planner) inspected(now time.Time, plan *endpointPlan, result Result) {
	if result.Report == nil {
		plan.restUntil = now.Add(restAfterFailure)
		return
	}
	if plan.endpoint.IsOtherIncarnation(result.Report.Born) {
		plan = p.restart(now, plan, result.Report.Born)
	}
	before := plan.count.sequence
	if !plan.adoptReport(now, result.Report) {
		plan.restUntil = now.Add(answerRest)
		return
	}
	if plan.refused && plan.count.sequence == before {
		// The count was right, so that the endpoint has another order under way; or the report is from before that order.
		plan.restUntil = now.Add(restAfterFailure)
	}
	plan.refused = false
	p.adoptModels(now, plan, result.Report)
	plan.inspect = false
	switch {
	case plan.awaitsModel(result.Report):
		plan.inspectAfter(now, modelPoll)
	case plan.modelsDoubted || plan.doubts():
		plan.inspectAfter(now, answerRest)
	}
	for _, c := range plan.copies {
		if c.state == copyLoading {
			c.pollAt = laterOf(c.pollAt, now.Add(reportPoll))
		}
	}
	p.changed[plan.endpoint.ID] = true
}

// inspectAfter has the endpoint's report read after a pause, and no order given before.
func (e *endpointPlan) inspectAfter(now time.Time, pause time.Duration) {
	e.inspect = true
	e.restUntil = now.Add(pause)
}

// modelArrived takes in that an endpoint holds a base model.
func (p *Planner) modelArrived(now time.Time, plan *endpointPlan, model string) {
	delete(plan.copies, deployment.Adapter{Model: model})
	if !plan.endpoint.HasModel(model) {
		plan.endpoint.Models = append([]string{model}, plan.endpoint.Models...)
	}
	plan.modelSince = now
	p.changed[plan.endpoint.ID] = true
}

// loaded takes in the reply to an order to load, or to a poll of one. What the reply leaves open is settled by a report.
func (p *Planner) loaded(now time.Time, plan *endpointPlan, result Result) {
	adapter := result.Order.Adapter
	c, ok := plan.copies[adapter]
	if !ok {
		return
	}
	if result.Reply == Holds || result.Reply == Accepted {
		plan.abandoned = nil
	}
	switch result.Reply {
	case Holds:
		p.becomeResident(now, plan, adapter, c)
	case Accepted:
		plan.noteTaken(now, result.Order)
		p.stillLoading(now, plan, adapter, c, result.Order.Poll)
	case Conflict:
		if result.Order.Poll {
			p.stillLoading(now, plan, adapter, c, result.Order.Poll)
			return
		}
		delete(plan.copies, adapter)
		plan.inspect, plan.refused = true, true
	case NotDelivered, Rejected:
		if !result.Order.Poll {
			delete(plan.copies, adapter)
		}
		plan.restUntil = now.Add(restAfterFailure)
		plan.inspect = true
	case Unanswered, Inspected:
		plan.addUnanswered(now, result.Order.ExpectedSequence)
		plan.silentUntil = now.Add(inspectAfterSilence)
		plan.restUntil = now.Add(answerRest)
		plan.inspect = true
		c.pollAt = now.Add(answerRest)
		if !result.Order.Poll {
			// Its place is kept; if it was taken, the report lists it. Until then it may be brought elsewhere.
			delete(plan.copies, adapter)
			plan.abandon(adapter, c.version)
		}
	}
}

// abandon keeps that the endpoint may be loading a version though it left the order unanswered.
func (e *endpointPlan) abandon(adapter deployment.Adapter, version int64) {
	if e.abandoned == nil {
		e.abandoned = make(map[deployment.Adapter]int64)
	}
	e.abandoned[adapter] = version
}

// noteTaken counts an order that the endpoint has taken; a poll asks about one that it took before.
func (e *endpointPlan) noteTaken(now time.Time, order Order) {
	if !order.Poll {
		e.count.noteTaken(now, order)
	}
}

// stillLoading asks again soon; a load that takes too long is looked into. poll says that the endpoint was asked about it.
func (p *Planner) stillLoading(now time.Time, plan *endpointPlan, adapter deployment.Adapter, c *copyPlan, poll bool) {
	limit := loadLimit
	if adapter.IsZero() {
		limit = modelLoadLimit
	}
	if poll {
		c.loadingAt = c.askedAt
	}
	c.pollAt = laterOf(c.pollAt, now.Add(loadPoll))
	if now.Sub(c.since) > limit && now.Sub(c.inspected) > loadLimit {
		c.inspected = now
		plan.inspect = true
		plan.restUntil = now.Add(answerRest)
	}
}

func (p *Planner) becomeResident(now time.Time, plan *endpointPlan, adapter deployment.Adapter, c *copyPlan) {
	if c.state != copyLoading {
		return
	}
	if adapter.IsZero() {
		p.modelArrived(now, plan, adapter.Model)
		return
	}
	if c.cold && c.timed {
		p.pace.note(now, c.loadEnd(now, p.coldLoads()))
	}
	c.state, c.since, c.settledSince = copyResident, now, now
	delete(p.failing, adapter)
	delete(plan.dropped, adapter)
	plan.held[adapter] = now
	p.changed[plan.endpoint.ID] = true
}

// loadEnd is what the end of a load tells that is seen now, beside so many that run.
func (c *copyPlan) loadEnd(now time.Time, running int) loadEnd {
	end := loadEnd{took: now.Sub(c.since), quick: c.loadingAt.IsZero(), running: running}
	if !end.quick {
		end.atLeast = c.loadingAt.Sub(c.since)
	}
	return end
}

// unloaded takes in the reply to an order to unload, or to a poll of one. What the reply leaves open is settled by a report.
func (p *Planner) unloaded(now time.Time, plan *endpointPlan, result Result) {
	c, ok := plan.copies[result.Order.Adapter]
	if !ok || c.state != copyUnloading {
		return
	}
	switch result.Reply {
	case Holds:
		if !result.Order.Poll {
			plan.count.noteUnloaded(now, result.Order)
		}
		plan.held[result.Order.Adapter] = now
		plan.dropped[result.Order.Adapter] = now
		delete(plan.copies, result.Order.Adapter)
		p.changed[plan.endpoint.ID] = true
	case Accepted:
		plan.noteTaken(now, result.Order)
		c.accepted = true
		c.pollAt = now.Add(unloadPoll)
	case Conflict:
		if !result.Order.Poll {
			plan.inspect, plan.refused = true, true
			return
		}
		p.stillUnloading(now, plan, c)
	default:
		plan.restUntil = now.Add(restAfterFailure)
		plan.inspect = true
	}
}

// stillUnloading asks again soon; an unload that takes too long is looked into.
func (p *Planner) stillUnloading(now time.Time, plan *endpointPlan, c *copyPlan) {
	c.pollAt = now.Add(unloadPoll)
	if now.Sub(c.since) > loadLimit && now.Sub(c.inspected) > loadLimit {
		c.inspected = now
		c.accepted = false
		plan.inspect = true
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
