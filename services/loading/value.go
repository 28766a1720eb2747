// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/deployment"
)

const (
	// horizon is how far ahead the use of a copy is counted. Longer brings and keeps copies that are asked for rarely,
	// shorter leaves more room for those that requests wait for now. Not measured.
	horizon = 15 * time.Second
	// inTimeValue is what a waiting request that can still be answered in time is worth, in requests served. It is the unit of
	// all values here, so that there is nothing to trade. Not measured.
	inTimeValue = 1.0
	// lateValue is what a waiting request that can no longer be answered in time is worth, in requests served. Higher loads
	// more for callers who are late already, at the cost of those who could be served in time. Not measured.
	lateValue = 0.15
	// worthwhileUse is the expected use within the horizon, in requests, below which no copy is brought or kept up to date
	// for an adapter that nobody waits for. Lower spends loads on adapters that may not be asked for again. Not measured.
	worthwhileUse = 1.0
	// fullShare is the part of an endpoint's fair share of requests that one copy may take before it gets a second copy.
	// Lower spreads hot adapters sooner and costs loads and places. Not measured.
	fullShare = 0.7
	// extraCopyValue weighs the relief of a hot copy against a first copy. Higher spends more loads on second copies.
	// Not measured.
	extraCopyValue = 0.4
	// leastExtraRate is the arrival rate, in requests a second, below which one copy is always enough. Lower spreads
	// sooner. Not measured.
	leastExtraRate = 0.8
)

// copyCount is how many copies of an adapter there are.
type copyCount struct {
	// usable copies are resident at the version to be served; coming ones are on their way;
	// free ones are usable and not on a full endpoint.
	usable, coming, free int
}

// indexCopies counts all adapters' copies on endpoints that take requests.
func (p *Planner) indexCopies() {
	clear(p.counts)
	for _, plan := range p.endpoints {
		if plan.endpoint.State != deployment.Ready || plan.suspect {
			continue
		}
		for adapter, c := range plan.copies {
			count := p.counts[adapter]
			switch {
			case c.state == copyLoading:
				count.coming++
			case c.state == copyResident && c.version >= p.versionOf(adapter):
				count.usable++
				if !plan.full {
					count.free++
				}
			}
			p.counts[adapter] = count
		}
	}
}

func (p *Planner) versionOf(adapter deployment.Adapter) int64 {
	if known, ok := p.demand[adapter]; ok {
		return known.version
	}
	return 0
}

// value is the worth of one more copy, in requests served.
func (p *Planner) value(now time.Time, adapter deployment.Adapter, known *adapterDemand, total float64) float64 {
	usable, coming := p.counts[adapter].usable, p.counts[adapter].coming
	waiting, inTime := known.waitingNow(now, p.pace.typical)
	if coming == 0 && (usable == 0 || (waiting > 0 && p.counts[adapter].free == 0)) {
		if waiting == 0 && known.rate*horizon.Seconds() < worthwhileUse {
			return 0
		}
		return float64(inTime)*inTimeValue + float64(waiting-min(waiting, inTime))*lateValue + known.rate*horizon.Seconds()
	}
	if coming > 0 || known.rate < leastExtraRate || total <= 0 {
		return 0
	}
	fair := total / float64(max(1, p.readyEndpoints())) * fullShare
	excess := known.rate/float64(usable) - fair
	if excess <= 0 {
		return 0
	}
	return excess * horizon.Seconds() * extraCopyValue
}

// worth is what a resident copy is expected to serve.
func (p *Planner) worth(now time.Time, adapter deployment.Adapter) float64 {
	known, ok := p.demand[adapter]
	if !ok {
		return 0
	}
	known.decay(now)
	return known.rate * horizon.Seconds() / float64(max(1, p.counts[adapter].usable))
}

func (p *Planner) readyEndpoints() int {
	count := 0
	for _, plan := range p.endpoints {
		if plan.endpoint.State == deployment.Ready && !plan.suspect {
			count++
		}
	}
	return count
}

// expectedLoads gives the request rate that each endpoint's copies draw.
func (p *Planner) expectedLoads(now time.Time) map[deployment.EndpointID]float64 {
	loads := make(map[deployment.EndpointID]float64, len(p.endpoints))
	for id, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			known, ok := p.demand[adapter]
			if !ok || (c.state != copyResident && c.state != copyLoading) {
				continue
			}
			known.decay(now)
			count := p.counts[adapter]
			loads[id] += known.rate / float64(max(1, count.usable+count.coming))
		}
	}
	return loads
}
