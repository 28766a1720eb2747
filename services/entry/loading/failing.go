// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// endsUnderLoad is how many endpoints in a row may end while they load a version of an adapter until it is held back. One or two end by
	// chance; each further one takes what runs there with it.
	endsUnderLoad = 3
	// loadHold is for how long it is held back then; the next load finds out whether an endpoint bears it.
	loadHold = 5 * time.Minute
	// commonEnds is how many endpoints that are gone at once have a common cause.
	commonEnds = 3
)

// failingLoad is a version of an adapter under whose loads endpoints ended, without one that came to its end since.
type failingLoad struct {
	version int64
	ends    int
	// last is when the last one was found out.
	last time.Time
}

// noteEnds takes in that endpoints are gone, as of one sweep: what one was loading may be what ended it, and would end the next endpoint as
// well. Those that said that they leave were not ended by it, and many at once have a common cause, such as a store that is down.
func (p *Planner) noteEnds(now time.Time, gone []*endpointPlan) {
	if len(gone) >= commonEnds {
		return
	}
	for _, plan := range gone {
		if plan.endpoint.State == deployment.Draining {
			continue
		}
		for adapter, version := range plan.loads() {
			p.noteFailing(now, adapter, version)
		}
	}
}

// loads gives the versions of adapters that an endpoint loads, or may since it left the order unanswered.
func (e *endpointPlan) loads() map[deployment.Adapter]int64 {
	loads := maps.Clone(e.abandoned)
	if loads == nil {
		loads = make(map[deployment.Adapter]int64)
	}
	for adapter, c := range e.copies {
		if !adapter.IsZero() && c.state == copyLoading {
			loads[adapter] = c.version
		}
	}
	return loads
}

func (p *Planner) noteFailing(now time.Time, adapter deployment.Adapter, version int64) {
	failing := p.failing[adapter]
	if failing.version != version {
		failing = failingLoad{version: version}
	}
	failing.ends++
	failing.last = now
	p.failing[adapter] = failing
}

// heldBack reports whether an adapter is not loaded for now, since endpoints ended while they loaded the version that is wanted.
func (p *Planner) heldBack(now time.Time, adapter deployment.Adapter, wanted int64) bool {
	failing, ok := p.failing[adapter]
	return ok && failing.version >= wanted && failing.ends >= endsUnderLoad && now.Sub(failing.last) < loadHold
}

// forgetFailing drops what no longer counts.
func (p *Planner) forgetFailing(now time.Time) {
	for adapter, failing := range p.failing {
		if now.Sub(failing.last) > 2*loadHold {
			delete(p.failing, adapter)
		}
	}
}
