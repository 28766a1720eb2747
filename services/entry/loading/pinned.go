// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// wantedCopy is an adapter that an endpoint is to load: one of a software, or any endpoint if the software is empty.
type wantedCopy struct {
	adapter  deployment.Adapter
	software string
}

// pinnedDemand is the demand for an adapter of requests that only the endpoints of one software may run, since the streams
// that they continue began there. A copy at an endpoint of another software serves none of them.
type pinnedDemand struct {
	waiting waitingByInstance
	// copies are the copies at the endpoints of the software, as of the last decision.
	copies copyCount
}

// pinnedWeight is the value of a copy at the endpoints of one software compared with that of any other copy with the same waiting requests. A
// higher weight lets more streams go on that have brought their callers a part of the answer; a lower one begins more new requests.
const pinnedWeight = 20.0

// addPinned adds the requests of an instance that wait for a copy at the endpoints of one software.
func (p *Planner) addPinned(instance string, wanted wantedCopy, waiting waitingRequests) {
	known, ok := p.pinned[wanted]
	if !ok {
		known = &pinnedDemand{waiting: make(waitingByInstance)}
		p.pinned[wanted] = known
	}
	known.waiting[instance] = waiting
	p.pinnedCopies[instance] = append(p.pinnedCopies[instance], wanted)
}

// forgetPinned removes the requests of an instance that wait for copies at the endpoints of one software.
func (p *Planner) forgetPinned(instance string) {
	for _, wanted := range p.pinnedCopies[instance] {
		// The entry is missing if the instance reported the same copy twice.
		if known, ok := p.pinned[wanted]; ok {
			delete(known.waiting, instance)
			if len(known.waiting) == 0 {
				delete(p.pinned, wanted)
			}
		}
	}
	delete(p.pinnedCopies, instance)
}

// pinnedValue returns the value of one more copy at the endpoints of one software, in requests served.
func (p *Planner) pinnedValue(now time.Time, known *pinnedDemand) float64 {
	return pinnedWeight * p.pinnedNeed(now, known).Value()
}

// pinnedNeed returns the demand for one more copy at the endpoints of one software. Only waiting requests count, because
// streams that go on are few, and all later requests may use other copies.
func (p *Planner) pinnedNeed(now time.Time, known *pinnedDemand) CopyNeed {
	waiting, inTime := known.waiting.count(now, p.loadLimiter.typicalLoadTime)
	return CopyNeed{Usable: known.copies.usable, Loading: known.copies.loading, Free: known.copies.free, Waiting: waiting, InTime: inTime}
}

// hasPinnedRequests reports whether requests wait for an adapter that only endpoints of the same software as the given one
// may run.
func (p *Planner) hasPinnedRequests(adapter deployment.Adapter, plan *endpointPlan) bool {
	return p.pinned[wantedCopy{adapter: adapter, software: plan.endpoint.Software}] != nil
}

// queuedPinned returns the number of copies that requests wait for at the endpoints of one software and that are not being
// loaded there.
func (p *Planner) queuedPinned() int {
	count := 0
	for _, known := range p.pinned {
		if known.copies.loading == 0 && known.copies.free == 0 {
			count++
		}
	}
	return count
}
