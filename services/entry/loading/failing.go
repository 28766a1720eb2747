// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// lossesBeforeHold is the number of consecutive endpoints that may terminate while loading a version of an
	// adapter before loads of that version are held back. One or two may terminate by chance; each further
	// termination also ends the requests that run on the endpoint.
	lossesBeforeHold = 3
	// failingLoadHold is how long loads of such a version are held back. The next load after that tests whether an
	// endpoint survives it.
	failingLoadHold = 5 * time.Minute
	// commonCauseLosses is the number of endpoints that disappear at the same time from which on a common cause is
	// assumed.
	commonCauseLosses = 3
)

// failingLoad is a version of an adapter whose loads coincided with endpoint terminations, with no successful load
// since.
type failingLoad struct {
	version int64
	losses  int
	// lastLossAt is when the last termination was detected.
	lastLossAt time.Time
}

// adapterVersion is a version of an adapter.
type adapterVersion struct {
	adapter deployment.Adapter
	version int64
}

// recordLostEndpoints records the endpoints that one sweep found gone. The load in progress may have terminated the
// endpoint and would then terminate the next one as well. Draining endpoints are left out because they shut down on
// purpose. Many endpoints that disappear at once usually have a common cause, such as a store outage, unless they were
// all loading the same version.
func (p *Planner) recordLostEndpoints(now time.Time, lost []*endpointPlan) {
	losses := make(map[adapterVersion]int)
	for _, plan := range lost {
		if plan.endpoint.State == deployment.Draining {
			continue
		}
		for adapter, version := range plan.loads() {
			losses[adapterVersion{adapter, version}]++
		}
	}
	for loaded, count := range losses {
		if len(lost) < commonCauseLosses {
			p.recordFailingLoad(now, loaded, count)
		} else if count >= commonCauseLosses && !p.isResident(loaded) {
			// The next loss decides, so that the loss of a rack alone does not hold the version back.
			p.recordFailingLoad(now, loaded, lossesBeforeHold-1)
		}
	}
}

// isResident reports whether an endpoint holds a version of an adapter, so that its load has succeeded.
func (p *Planner) isResident(wanted adapterVersion) bool {
	for _, plan := range p.endpoints {
		if c, ok := plan.copies[wanted.adapter]; ok && c.version == wanted.version && !c.isPolled() {
			return true
		}
	}
	return false
}

// loads returns the adapter versions that an endpoint is loading or may be loading because it left the load
// order unanswered.
func (e *endpointPlan) loads() map[deployment.Adapter]int64 {
	loads := maps.Clone(e.unansweredVersions)
	if loads == nil {
		loads = make(map[deployment.Adapter]int64)
	}
	for adapter, c := range e.copies {
		if !adapter.IsZero() && c.isPolled() {
			loads[adapter] = c.version
		}
	}
	return loads
}

// recordFailingLoad records a number of endpoint terminations during loads of an adapter's version.
func (p *Planner) recordFailingLoad(now time.Time, loaded adapterVersion, losses int) {
	failing := p.failing[loaded.adapter]
	if failing.version != loaded.version {
		failing = failingLoad{version: loaded.version}
	}
	failing.losses += losses
	failing.lastLossAt = now
	p.failing[loaded.adapter] = failing
}

// loadHeldBack reports whether loads of an adapter are suspended because endpoints terminated while loading the
// wanted version.
func (p *Planner) loadHeldBack(now time.Time, adapter deployment.Adapter, wanted int64) bool {
	failing, ok := p.failing[adapter]
	return ok && failing.version >= wanted && failing.losses >= lossesBeforeHold && now.Sub(failing.lastLossAt) < failingLoadHold
}

// pruneFailingLoads removes entries whose hold has long ended.
func (p *Planner) pruneFailingLoads(now time.Time) {
	for adapter, failing := range p.failing {
		if now.Sub(failing.lastLossAt) > 2*failingLoadHold {
			delete(p.failing, adapter)
		}
	}
}
