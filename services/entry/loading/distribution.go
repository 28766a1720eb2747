// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

// sharingEndpoints is the number of endpoints between which one more copy evens out the work: the endpoint that is
// relieved and the one that receives the copy.
const sharingEndpoints = 2

// workDistribution is the distribution of the adapters' work over the endpoints at one time. It is computed for each
// search for a load.
type workDistribution struct {
	// byEndpoint is the share of each endpoint's time that the requests of its copies take, in seconds a second.
	byEndpoint map[deployment.EndpointID]float64
	// leastHolderWork is, for each adapter, the work of the least busy endpoint that holds it.
	leastHolderWork map[deployment.Adapter]float64
	// leastWork is the work of the least busy endpoint of all that receive copies.
	leastWork float64
	// speed is the mean prompt reading speed of the endpoints, in tokens a second.
	speed float64
}

// distributeWork returns the distribution of the current demand over the planned copies.
func (p *Planner) distributeWork(now time.Time) *workDistribution {
	s := &workDistribution{
		byEndpoint:      make(map[deployment.EndpointID]float64, len(p.endpoints)),
		leastHolderWork: make(map[deployment.Adapter]float64),
		leastWork:       math.Inf(1),
		speed:           p.meanSpeed(),
	}
	for id, plan := range p.endpoints {
		if plan.endpoint.State != deployment.Ready || plan.suspect {
			continue
		}
		s.byEndpoint[id] = p.expectedWork(now, plan)
		s.leastWork = min(s.leastWork, s.byEndpoint[id])
		s.recordHolder(plan, s.byEndpoint[id])
	}
	return s
}

// recordHolder records an endpoint's work for the adapters that it holds.
func (s *workDistribution) recordHolder(plan *endpointPlan, load float64) {
	for adapter, c := range plan.copies {
		if !c.serves() {
			continue
		}
		if known, ok := s.leastHolderWork[adapter]; !ok || load < known {
			s.leastHolderWork[adapter] = load
		}
	}
}

// expectedWork returns the share of an endpoint's time that the requests of its copies take, in seconds a second.
func (p *Planner) expectedWork(now time.Time, plan *endpointPlan) float64 {
	sum := 0.0
	for adapter, c := range plan.copies {
		known, ok := p.demand[adapter]
		if !ok || !c.serves() {
			continue
		}
		count := p.copyCounts[adapter]
		sum += known.work(now, plan.speed.PerSecond()) / float64(max(1, count.usable+count.loading))
	}
	return sum
}

// relief returns how many requests a second one more copy of an adapter would take off the endpoints that hold it:
// its share of the adapter's work, but no more than evens out the work with the least busy endpoint.
func (s *workDistribution) relief(now time.Time, adapter deployment.Adapter, known *adapterDemand, count copyCount) float64 {
	holder, held := s.leastHolderWork[adapter]
	if !held {
		return 0
	}
	drawn := known.work(now, s.speed)
	moved := min(drawn/float64(count.usable+count.loading+1), (holder-s.leastWork)/sharingEndpoints)
	if moved < minRelief {
		return 0
	}
	requests, _ := known.rates(now)
	return requests * moved / drawn
}

// meanSpeed returns the mean prompt reading speed of the endpoints, in tokens a second.
func (p *Planner) meanSpeed() float64 {
	sum := 0.0
	for _, plan := range p.endpoints {
		sum += plan.speed.PerSecond()
	}
	if sum == 0 {
		return work.Speed{}.PerSecond()
	}
	return sum / float64(len(p.endpoints))
}

// serves reports whether a copy serves requests or will serve them after its load.
func (c *copyPlan) serves() bool {
	return c.state == copyResident || c.state == copyLoading
}
