// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// adoptDescription takes in the adapters that the endpoint's description in the store lists. A description does not tell
// after which order it was made, and may be read seconds later, after newer ones. So it neither frees a place nor ends
// a load: where it differs from the plan, the endpoint's own report is read.
func (e *endpointPlan) adoptDescription(now time.Time, adapters map[deployment.Adapter]int64) {
	for adapter, version := range adapters {
		known, ok := e.copies[adapter]
		if !ok {
			e.learn(now, adapter, version)
			continue
		}
		if known.state == copyLoading && now.Before(known.pollAt) {
			known.pollAt = now
		}
		known.version = max(known.version, version)
	}
	for adapter, known := range e.copies {
		if _, listed := adapters[adapter]; listed || adapter.IsZero() || known.state == copyLoading || now.Sub(known.since) < descriptionLag {
			continue
		}
		if known.state == copyResident {
			known.state = copyDoubted
		}
		e.inspect = true
	}
}

// learn takes in an adapter that the plan knows nothing of, unless an own order dropped it a short time ago. It counts
// as there as long as there is nothing but descriptions to go by.
func (e *endpointPlan) learn(now time.Time, adapter deployment.Adapter, version int64) {
	if at, dropped := e.dropped[adapter]; dropped && now.Sub(at) < descriptionLag {
		return
	}
	state := copyResident
	if e.reportRead {
		state = copyDoubted
	}
	e.copies[adapter] = &copyPlan{state: state, version: version, since: now}
	e.inspect = true
}

// adoptReport takes in a report, which also says what is still to come; false if it is older than
// what the results of own orders have shown. What it lists is what the endpoint held when it had taken so many orders.
func (e *endpointPlan) adoptReport(now time.Time, report *Report) bool {
	ahead := report.Sequence > e.count.sequence
	if !e.count.adopt(now, report) {
		return false
	}
	if !e.reportRead {
		e.reportRead = true
		e.former.until = now.Add(deliveryLimit)
		e.former.sequence = report.Sequence + formerAhead
	}
	if ahead {
		e.former.sequence = report.Sequence + formerAhead
	}
	for adapter, version := range report.Adapters {
		e.adoptResident(now, adapter, version, slices.Contains(report.Pending, adapter))
	}
	for _, adapter := range report.Pending {
		if _, replaced := report.Adapters[adapter]; !replaced {
			e.adoptPending(now, adapter, ahead)
		}
	}
	e.dropUnlisted(now, report, ahead)
	return true
}

// adoptResident takes in that a report lists an adapter as there; replaced says that a newer version of it is on its way.
func (e *endpointPlan) adoptResident(now time.Time, adapter deployment.Adapter, version int64, replaced bool) {
	known, ok := e.copies[adapter]
	if !ok {
		e.copies[adapter] = &copyPlan{state: e.stateOfListed(now, adapter), version: version, since: now}
		return
	}
	if (known.state == copyLoading && !replaced) || known.state == copyDoubted {
		known.state, known.since = e.stateOfListed(now, adapter), now
	}
	known.version = max(known.version, version)
}

// stateOfListed is the state of a copy that a report lists: one that an own order dropped a moment ago is in doubt, since
// the report may be from before that. It is read again.
func (e *endpointPlan) stateOfListed(now time.Time, adapter deployment.Adapter) copyState {
	if at, dropped := e.dropped[adapter]; dropped && now.Sub(at) < reportLag {
		return copyDoubted
	}
	return copyResident
}

// adoptPending takes in that a report lists an adapter as on its way and not as there; ahead says that the endpoint has taken
// orders that the plan did not know of.
func (e *endpointPlan) adoptPending(now time.Time, adapter deployment.Adapter, ahead bool) {
	if known, ok := e.copies[adapter]; ok && (known.state == copyLoading || (!ahead && known.cameSince())) {
		return
	}
	e.copies[adapter] = &copyPlan{state: copyLoading, since: now, cold: true, pollAt: now.Add(loadPoll)}
}

// cameSince reports whether a copy that a report lists as on its way has come since: an own load brought it, or its unload
// was to be ordered, and may still be carried out.
func (c *copyPlan) cameSince() bool {
	return c.state == copyUnloading || (c.state == copyResident && !c.settledSince.IsZero())
}

// dropUnlisted forgets the copies that a report lists neither as there nor as on their way. One that an own order brought
// a moment ago stays, since the lists of a report may lag behind its count, unless the report is from after orders that the
// plan did not know of.
func (e *endpointPlan) dropUnlisted(now time.Time, report *Report, ahead bool) {
	for adapter, known := range e.copies {
		if _, listed := report.Adapters[adapter]; listed || adapter.IsZero() || slices.Contains(report.Pending, adapter) {
			continue
		}
		if ahead || !known.mayBeUnlisted(now) {
			delete(e.copies, adapter)
		}
	}
}

// mayBeUnlisted reports whether a copy that an own order brings or brought may be there though a report does not list it.
func (c *copyPlan) mayBeUnlisted(now time.Time) bool {
	switch c.state {
	case copyLoading:
		return c.timed && now.Sub(c.since) <= reportLag
	case copyResident, copyWithdrawn:
		return !c.settledSince.IsZero() && now.Sub(c.since) < reportLag
	default:
		return false
	}
}

// doubts reports whether a copy is in doubt, so that the report has to be read.
func (e *endpointPlan) doubts() bool {
	for _, known := range e.copies {
		if known.state == copyDoubted {
			return true
		}
	}
	return false
}
