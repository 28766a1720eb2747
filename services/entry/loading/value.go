// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// valueHorizon is how far ahead the use of a copy is counted. A longer time loads and keeps rarely used copies; a
	// shorter time leaves more room for those that requests wait for now.
	valueHorizon = 15 * time.Second
	// inTimeValue is the value of a waiting request that can still be answered in time, in requests served. It is
	// the unit of all values here, so it is not a trade-off.
	inTimeValue = 1.0
	// lateValue is the value of a waiting request that can no longer be answered in time, in requests served. A
	// higher value loads more for late callers, at the cost of callers who could be served in time.
	lateValue = 0.15
	// minWorthwhileUse is the expected use within valueHorizon, in requests, below which the copy of an adapter
	// without waiting requests is not updated. A lower value spends loads on adapters that may not be requested
	// again.
	minWorthwhileUse = 1.0
	// extraCopyValue is the weight of the relief of busy copies compared with a first copy. A higher weight spends
	// more loads on second copies.
	extraCopyValue = 0.4
	// minRelief is the minimum work, in seconds of endpoint time a second, that one more copy must take off the
	// endpoints that hold the adapter. A lower value adds copies of hot adapters sooner and costs loads and places.
	minRelief = 0.2
)

// copyCount is the number of copies of an adapter by state.
type copyCount struct {
	// usable copies are resident at the version to be served; loading copies are being loaded; free copies are usable
	// and on an endpoint that is not saturated.
	usable, loading, free int
	// outdated copies are resident at an older version.
	outdated int
}

// countCopies counts the copies of all adapters on endpoints that accept requests.
func (p *Planner) countCopies() {
	clear(p.copyCounts)
	for _, known := range p.pinned {
		known.copies = copyCount{}
	}
	for _, plan := range p.endpoints {
		if plan.endpoint.State != deployment.Ready || plan.suspect {
			continue
		}
		for adapter, c := range plan.copies {
			p.copyCounts[adapter] = p.countCopy(p.copyCounts[adapter], adapter, c, !plan.saturated)
			if known, ok := p.pinned[wantedCopy{adapter: adapter, software: plan.endpoint.Software}]; ok {
				known.copies = p.countCopy(known.copies, adapter, c, !plan.full)
			}
		}
	}
}

// countCopy returns the count with one more copy; free reports whether its endpoint can take the requests in question.
func (p *Planner) countCopy(count copyCount, adapter deployment.Adapter, c *copyPlan, free bool) copyCount {
	switch {
	case c.state == copyLoading:
		count.loading++
	case c.state == copyResident && c.version >= p.wantedVersion(adapter):
		count.usable++
		if free {
			count.free++
		}
	case c.state == copyResident:
		count.outdated++
	}
	return count
}

// wantedVersion returns the version of an adapter that is to be served; 0 means any version.
func (p *Planner) wantedVersion(adapter deployment.Adapter) int64 {
	if known, ok := p.demand[adapter]; ok {
		return known.version
	}
	return 0
}

// CopyNeed describes the demand for one more copy of an adapter.
type CopyNeed struct {
	// Usable, Loading and Free are the planned numbers of copies on endpoints that accept requests: resident at the
	// version to be served, being loaded, and usable on an endpoint that is not saturated.
	Usable, Loading, Free int
	// Waiting is the number of requests that wait for the adapter, from the instances' last reports.
	Waiting int
	// InTime is the number of instances whose newest waiting request could still be answered in time if a load
	// started now.
	InTime int
	// Rate is the current arrival rate at all instances, in requests a second, from their reports.
	Rate float64
	// Relief is how many requests a second one more copy would take off the endpoints that hold the adapter.
	Relief float64
	// Outdated is the number of copies at an older version than the one to be served.
	Outdated int
}

// Value returns the value of one more copy, in requests served; zero means that it is not worth a load. The first
// copy that can be used at once is valued by the waiting and the expected requests, each further copy by the relief
// that it brings.
func (n CopyNeed) Value() float64 {
	expected := n.Rate * valueHorizon.Seconds()
	if n.Loading == 0 && (n.Usable == 0 || (n.Waiting > 0 && n.Free == 0)) {
		if n.Waiting == 0 && (n.Outdated == 0 || expected < minWorthwhileUse) {
			return 0
		}
		return float64(n.InTime)*inTimeValue + float64(n.Waiting-min(n.Waiting, n.InTime))*lateValue + expected
	}
	// More copies may be loaded next to one that is loading, so that a hot adapter does not have to wait for one load
	// after another.
	return n.Relief * valueHorizon.Seconds() * extraCopyValue
}

// ResidentValue returns the number of requests that a resident copy is expected to serve within valueHorizon: its
// share of the adapter's arrival rate (requests a second) among the usable copies.
func ResidentValue(rate float64, usable int) float64 {
	return rate * valueHorizon.Seconds() / float64(max(1, usable))
}

// copyNeed returns the demand for one more copy of an adapter. known must have been decayed to now.
func (p *Planner) copyNeed(now time.Time, adapter deployment.Adapter, known *adapterDemand, distribution *workDistribution) CopyNeed {
	count := p.copyCounts[adapter]
	waiting, inTime := known.waiting.count(now, p.loadLimiter.typicalLoadTime)
	return CopyNeed{
		Usable: count.usable, Loading: count.loading, Free: count.free, Outdated: count.outdated, Waiting: waiting, InTime: inTime,
		Rate: known.perSecond, Relief: distribution.relief(now, adapter, known, count),
	}
}

// residentValue returns the expected use of a copy in the plan, in requests.
func (p *Planner) residentValue(now time.Time, adapter deployment.Adapter) float64 {
	known, ok := p.demand[adapter]
	if !ok {
		return 0
	}
	known.decay(now)
	return ResidentValue(known.perSecond, p.copyCounts[adapter].usable)
}
