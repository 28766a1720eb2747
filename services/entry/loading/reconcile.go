// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// applyDescription merges the adapters that the endpoint's description in the store lists into the plan. A
// description does not name the order after which it was written, and it may be read seconds later, after newer
// reports. It therefore neither frees a place nor completes a load: where it differs from the plan, the endpoint's
// own report is requested.
func (e *endpointPlan) applyDescription(now time.Time, adapters map[deployment.Adapter]int64) {
	for adapter, version := range adapters {
		known, ok := e.copies[adapter]
		if !ok {
			e.addListedCopy(now, adapter, version)
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
			known.state = copyUnconfirmed
		}
		e.needsInspection = true
	}
}

// addListedCopy adds a copy that is not in the plan, unless an order of this plan unloaded the adapter recently. The
// copy counts as resident as long as descriptions are the only source of information about the endpoint.
func (e *endpointPlan) addListedCopy(now time.Time, adapter deployment.Adapter, version int64) {
	if at, unloaded := e.unloaded[adapter]; unloaded && now.Sub(at) < descriptionLag {
		return
	}
	state := copyResident
	if e.reportRead {
		state = copyUnconfirmed
	}
	e.copies[adapter] = &copyPlan{state: state, version: version, since: now}
	e.needsInspection = true
}

// applyReport merges a report into the plan, including the adapters still loading. It returns false if the report is
// older than the state that the results of this plan's orders have shown. The report lists what the endpoint held at
// the sequence that it names.
func (e *endpointPlan) applyReport(now time.Time, report *Report) bool {
	ahead := report.Sequence > e.tracker.sequence
	if !e.tracker.update(now, report) {
		return false
	}
	if !e.reportRead {
		e.reportRead = true
		e.formerLoad.until = now.Add(deliveryLimit)
		e.formerLoad.sequence = report.Sequence + maxFormerSequenceLead
	}
	if ahead {
		e.formerLoad.sequence = report.Sequence + maxFormerSequenceLead
	}
	for adapter, version := range report.Adapters {
		e.applyResident(now, adapter, version, slices.Contains(report.Pending, adapter))
	}
	for _, adapter := range report.Pending {
		if _, replaced := report.Adapters[adapter]; !replaced {
			e.applyPending(now, adapter, ahead)
		}
	}
	e.removeUnlisted(now, report, ahead)
	return true
}

// applyResident merges an adapter that a report lists as resident; replaced reports whether a newer version of the
// adapter is loading.
func (e *endpointPlan) applyResident(now time.Time, adapter deployment.Adapter, version int64, replaced bool) {
	known, ok := e.copies[adapter]
	if !ok {
		e.copies[adapter] = &copyPlan{state: e.listedCopyState(now, adapter), version: version, since: now}
		return
	}
	if known.state == copyReplacing {
		known.applyReplacement(now, version)
		return
	}
	if (known.state == copyLoading && !replaced) || known.state == copyUnconfirmed {
		known.state, known.since = e.listedCopyState(now, adapter), now
	}
	known.version = max(known.version, version)
}

// listedCopyState returns the state of a copy that a report lists as resident. If an order of this plan unloaded the
// copy less than reportLag ago, the report may predate the unload, so the copy is unconfirmed until the next report.
func (e *endpointPlan) listedCopyState(now time.Time, adapter deployment.Adapter) copyState {
	if at, unloaded := e.unloaded[adapter]; unloaded && now.Sub(at) < reportLag {
		return copyUnconfirmed
	}
	return copyResident
}

// applyPending merges an adapter that a report lists as loading and not as resident; ahead reports whether the
// endpoint has accepted orders that the plan did not know of.
func (e *endpointPlan) applyPending(now time.Time, adapter deployment.Adapter, ahead bool) {
	if known, ok := e.copies[adapter]; ok && (known.state == copyLoading || (!ahead && known.mayHaveLoadedSince())) {
		return
	}
	e.copies[adapter] = &copyPlan{state: copyLoading, since: now, cold: true, pollAt: now.Add(loadPollInterval)}
}

// mayHaveLoadedSince reports whether a copy that a report lists as loading may have finished loading since the report
// was made: either a load ordered by this plan has ended, or the copy is waiting to be unloaded and the unload may
// still be carried out.
func (c *copyPlan) mayHaveLoadedSince() bool {
	return c.state == copyUnloading || (c.state == copyResident && !c.loadedAt.IsZero())
}

// removeUnlisted removes the copies that a report lists neither as resident nor as loading. A copy that an order of
// this plan loaded recently stays, because the lists of a report may lag behind its sequence. It is removed all the
// same if the report was made after orders that the plan did not know of.
func (e *endpointPlan) removeUnlisted(now time.Time, report *Report, ahead bool) {
	for adapter, known := range e.copies {
		if _, listed := report.Adapters[adapter]; listed || adapter.IsZero() || slices.Contains(report.Pending, adapter) {
			continue
		}
		if ahead || !known.mayBeMissingFromReport(now) {
			delete(e.copies, adapter)
		}
	}
}

// mayBeMissingFromReport reports whether a copy that an order of this plan loads or has loaded may exist although a
// report does not list it.
func (c *copyPlan) mayBeMissingFromReport(now time.Time) bool {
	switch c.state {
	case copyLoading:
		return c.startKnown && now.Sub(c.since) <= reportLag
	case copyResident, copyWithdrawn:
		return !c.loadedAt.IsZero() && now.Sub(c.since) < reportLag
	default:
		return false
	}
}

// hasUnconfirmedCopy reports whether the endpoint's report must be read because the state of a copy is unconfirmed.
func (e *endpointPlan) hasUnconfirmedCopy() bool {
	for _, known := range e.copies {
		if known.state == copyUnconfirmed {
			return true
		}
	}
	return false
}
