// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// reportsAfterUnanswered is how long after an unanswered order the loads of an endpoint are followed by reading
	// its reports instead of polling. A longer time avoids polls that stay unanswered and notices the end of loads
	// later.
	reportsAfterUnanswered = 4 * time.Second
	// unansweredPause is the pause before an inspection of an endpoint that left an order unanswered or whose report
	// was outdated. A shorter pause may ask before the endpoint has carried out the order.
	unansweredPause = 150 * time.Millisecond
	// failurePause is the pause before the next order to an endpoint after one failed. A shorter pause retries sooner
	// and spends more orders on an endpoint that cannot accept them.
	failurePause = 300 * time.Millisecond
	// slowLoadLimit is the time after which an accepted load or unload of an adapter is checked by a report, and the
	// minimum pause between two such reports. A shorter time notices a lost load sooner. A load takes 0.35 s with
	// twelve in parallel and 0.57 s with nineteen, so a shorter time would inspect healthy loads.
	slowLoadLimit = 1200 * time.Millisecond
	// slowModelLoadLimit is the corresponding time for a base model, which is larger.
	slowModelLoadLimit = 5 * time.Second
)

// Done handles the result of an order.
func (p *Planner) Done(now time.Time, result Result) {
	plan, ok := p.endpoints[result.Order.Endpoint.ID]
	if !ok {
		plan, ok = p.unregistered[result.Order.Endpoint.ID]
		// The copies of an endpoint without an entry are not announced.
		defer delete(p.changed, result.Order.Endpoint.ID)
	}
	if !ok {
		return
	}
	plan.orderInFlight = false
	if plan.endpoint.IsOtherIncarnation(result.Order.Endpoint.Born) {
		plan.handleResultFromBeforeRestart(now, result)
		return
	}
	switch result.Order.Kind {
	case Inspect:
		p.handleInspection(now, plan, result)
	case Load:
		p.handleLoadReply(now, plan, result)
	case Unload:
		p.handleUnloadReply(now, plan, result)
	}
}

// handleInspection handles the result of an inspection. If there is no report, or one older than the results of this
// plan's orders, the endpoint is inspected again after a pause.
func (p *Planner) handleInspection(now time.Time, plan *endpointPlan, result Result) {
	if result.Report == nil {
		plan.pausedUntil = now.Add(failurePause)
		return
	}
	if plan.endpoint.IsOtherIncarnation(result.Report.Born) {
		plan = p.replaceRestarted(now, plan, result.Report.Born)
	}
	before := plan.tracker.sequence
	if !plan.applyReport(now, result.Report) {
		plan.pausedUntil = now.Add(unansweredPause)
		return
	}
	if plan.orderRefused && plan.tracker.sequence == before {
		// The sequence was right, so either the endpoint has another order in progress or the report predates that
		// order.
		plan.pausedUntil = now.Add(failurePause)
	}
	plan.orderRefused = false
	p.applyReportedModels(now, plan, result.Report)
	plan.needsInspection = false
	switch {
	case plan.isLoadingUnplannedModel(result.Report):
		plan.scheduleInspection(now, firstModelPollDelay)
	case plan.modelsUnconfirmed || plan.hasUnconfirmedCopy():
		plan.scheduleInspection(now, unansweredPause)
	}
	for _, c := range plan.copies {
		if c.state == copyLoading {
			c.pollAt = laterOf(c.pollAt, now.Add(reportInterval))
		}
	}
	p.changed[plan.endpoint.ID] = true
}

// scheduleInspection schedules an inspection after a pause, with no order sent before.
func (e *endpointPlan) scheduleInspection(now time.Time, pause time.Duration) {
	e.needsInspection = true
	e.pausedUntil = now.Add(pause)
}

// addModel records that an endpoint holds a base model.
func (p *Planner) addModel(now time.Time, plan *endpointPlan, model string) {
	delete(plan.copies, deployment.Adapter{Model: model})
	if !plan.endpoint.HasModel(model) {
		plan.endpoint.Models = append([]string{model}, plan.endpoint.Models...)
	}
	plan.modelLoadedAt = now
	p.changed[plan.endpoint.ID] = true
}

// handleLoadReply handles the reply to a load order or to a poll of one. If the reply leaves the state of the load
// open, a report resolves it.
func (p *Planner) handleLoadReply(now time.Time, plan *endpointPlan, result Result) {
	adapter := result.Order.Adapter
	c, ok := plan.copies[adapter]
	if !ok {
		return
	}
	if result.Reply == Holds || result.Reply == Accepted {
		plan.unansweredVersions = nil
	}
	switch result.Reply {
	case Holds:
		p.finishLoad(now, plan, adapter, c)
	case Accepted:
		plan.recordAccepted(now, result.Order)
		p.continueLoad(now, plan, adapter, c, result.Order.Poll)
	case Conflict:
		if result.Order.Poll {
			p.continueLoad(now, plan, adapter, c, result.Order.Poll)
			return
		}
		plan.cancelLoad(now, adapter, c)
		plan.needsInspection, plan.orderRefused = true, true
	case NotDelivered, Rejected:
		if !result.Order.Poll {
			plan.cancelLoad(now, adapter, c)
		}
		plan.pausedUntil = now.Add(failurePause)
		plan.needsInspection = true
	case Unanswered, Inspected:
		plan.addUnansweredLoad(now, result.Order.ExpectedSequence)
		plan.unresponsiveUntil = now.Add(reportsAfterUnanswered)
		plan.pausedUntil = now.Add(unansweredPause)
		plan.needsInspection = true
		c.pollAt = now.Add(unansweredPause)
		if !result.Order.Poll {
			// A place is reserved for the load; if the endpoint accepted it, the report lists it. Until then the
			// adapter may be loaded elsewhere.
			plan.recordUnansweredVersion(adapter, c.version)
			plan.cancelLoad(now, adapter, c)
		}
	}
}

// cancelLoad undoes in the plan what the order of a load changed there.
func (e *endpointPlan) cancelLoad(now time.Time, adapter deployment.Adapter, c *copyPlan) {
	if c.state == copyReplacing {
		c.cancelReplacement(now)
		return
	}
	delete(e.copies, adapter)
}

// recordUnansweredVersion records that the endpoint may be loading a version although it left the order unanswered.
func (e *endpointPlan) recordUnansweredVersion(adapter deployment.Adapter, version int64) {
	if e.unansweredVersions == nil {
		e.unansweredVersions = make(map[deployment.Adapter]int64)
	}
	e.unansweredVersions[adapter] = version
}

// recordAccepted raises the sequence for an accepted order. A poll does not raise it, because the order was accepted
// before.
func (e *endpointPlan) recordAccepted(now time.Time, order Order) {
	if !order.Poll {
		e.tracker.recordAccepted(now, order)
	}
}

// continueLoad schedules the next poll of a load and requests a report if the load takes too long; poll reports
// whether the order was a poll.
func (p *Planner) continueLoad(now time.Time, plan *endpointPlan, adapter deployment.Adapter, c *copyPlan, poll bool) {
	limit := slowLoadLimit
	if adapter.IsZero() {
		limit = slowModelLoadLimit
	}
	if poll {
		c.lastSeenLoadingAt = c.lastPollAt
	}
	c.pollAt = laterOf(c.pollAt, now.Add(c.pollInterval()))
	if now.Sub(c.since) > limit && now.Sub(c.lastInspectedAt) > slowLoadLimit {
		c.lastInspectedAt = now
		plan.needsInspection = true
		plan.pausedUntil = now.Add(unansweredPause)
	}
}

func (p *Planner) finishLoad(now time.Time, plan *endpointPlan, adapter deployment.Adapter, c *copyPlan) {
	if !c.isPolled() {
		return
	}
	if adapter.IsZero() {
		p.addModel(now, plan, adapter.Model)
		return
	}
	if c.cold && c.startKnown {
		p.loadLimiter.record(now, c.loadMeasurement(now, p.coldLoads()))
	}
	c.state, c.since, c.loadedAt = copyResident, now, now
	delete(p.failing, adapter)
	delete(plan.unloaded, adapter)
	plan.previouslyHeld[adapter] = now
	p.changed[plan.endpoint.ID] = true
}

// loadMeasurement returns what the end of a load, observed now, reveals about the weight store;
// parallelLoads is the number of loads running.
func (c *copyPlan) loadMeasurement(now time.Time, parallelLoads int) loadMeasurement {
	end := loadMeasurement{took: now.Sub(c.since), early: c.lastSeenLoadingAt.IsZero(), parallelLoads: parallelLoads}
	if !end.early {
		end.minTook = c.lastSeenLoadingAt.Sub(c.since)
	}
	return end
}

// handleUnloadReply handles the reply to an unload order or to a poll of one. If the reply leaves the state of the
// unload open, a report resolves it.
func (p *Planner) handleUnloadReply(now time.Time, plan *endpointPlan, result Result) {
	c, ok := plan.copies[result.Order.Adapter]
	if !ok || c.state != copyUnloading {
		return
	}
	switch result.Reply {
	case Holds:
		if !result.Order.Poll {
			plan.tracker.recordUnload(now, result.Order)
		}
		plan.previouslyHeld[result.Order.Adapter] = now
		plan.unloaded[result.Order.Adapter] = now
		delete(plan.copies, result.Order.Adapter)
		p.changed[plan.endpoint.ID] = true
	case Accepted:
		plan.recordAccepted(now, result.Order)
		c.unloadAccepted = true
		c.pollAt = now.Add(unloadPollInterval)
	case Conflict:
		if !result.Order.Poll {
			plan.needsInspection, plan.orderRefused = true, true
			return
		}
		p.continueUnload(now, plan, c)
	default:
		plan.pausedUntil = now.Add(failurePause)
		plan.needsInspection = true
	}
}

// continueUnload schedules the next poll of an unload and requests a report if the unload takes too long.
func (p *Planner) continueUnload(now time.Time, plan *endpointPlan, c *copyPlan) {
	c.pollAt = now.Add(unloadPollInterval)
	if now.Sub(c.since) > slowLoadLimit && now.Sub(c.lastInspectedAt) > slowLoadLimit {
		c.lastInspectedAt = now
		c.unloadAccepted = false
		plan.needsInspection = true
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
