// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// spareShare is the share of an endpoint's places kept free for the next loads; at least one place and at most
	// maxSparePlaces are kept free. More free places let loads start at once, at the cost of copies that could serve
	// requests.
	spareShare     = 0.15
	maxSparePlaces = 2
	// evictionValueLimit is the expected use within valueHorizon, in requests, from which a copy is never evicted. A
	// higher limit also frees places held by hot copies, which then have to be loaded again.
	evictionValueLimit = 12.0
	// evictionProtection is how long a newly loaded copy is protected from eviction. A longer time protects copies
	// that requests are about to use; a shorter time frees places that were filled in vain. The planner learns that a
	// copy is used one report interval (0.25 s) later.
	evictionProtection = 300 * time.Millisecond
	// withdrawalTimeout is the time after which a withdrawn copy that is still in use is offered again. A longer time
	// waits for long streams; a shorter time looks for another copy sooner.
	withdrawalTimeout = 400 * time.Millisecond
)

// ensureSparePlaces withdraws the least valuable copy of each endpoint with too few free places, so that a load need
// not wait for an unload.
func (p *Planner) ensureSparePlaces(now time.Time) {
	for id, plan := range p.endpoints {
		if plan.suspect || plan.endpoint.State != deployment.Ready {
			continue
		}
		outgoing, unconfirmed := plan.outgoing()
		plan.pruneUnansweredLoads(now)
		if p.capacity(&plan.endpoint)-plan.occupiedPlaces()+outgoing >= p.sparePlaces(&plan.endpoint) || unconfirmed {
			continue
		}
		if victim := p.evictionCandidate(now, id, plan); victim != nil {
			p.withdraw(now, id, victim)
		}
	}
}

func (p *Planner) sparePlaces(endpoint *deployment.Endpoint) int {
	return SparePlaces(p.capacity(endpoint))
}

// SparePlaces returns how many of an endpoint's places for adapters are kept free.
func SparePlaces(capacity int) int {
	return max(1, min(maxSparePlaces, int(spareShare*float64(capacity))))
}

// outgoing returns the number of copies that are withdrawn or being unloaded, and whether one of them is not
// yet confirmed as unused. A copy to be replaced does not count, because its replacement needs a free place first.
func (e *endpointPlan) outgoing() (count int, unconfirmed bool) {
	for _, c := range e.copies {
		switch {
		case c.state == copyWithdrawn && !c.isRecalled():
			count++
			unconfirmed = true
		case c.state == copyUnloading:
			count++
		}
	}
	return count, unconfirmed
}

// evictionCandidate returns the copy with the lowest expected use that is past its eviction protection and not used
// or waited for by any request. It returns nil if no such copy has an expected use below evictionValueLimit.
func (p *Planner) evictionCandidate(now time.Time, id deployment.EndpointID, plan *endpointPlan) *copyPlan {
	var victim *copyPlan
	least := evictionValueLimit
	for adapter, c := range plan.copies {
		if c.state != copyResident || now.Sub(c.loadedAt) < evictionProtection || p.uses(id, adapter) > 0 {
			continue
		}
		if p.hasWaitingRequests(now, adapter) || p.hasPinnedRequests(adapter, plan) {
			continue
		}
		if value := p.residentValue(now, adapter); value < least {
			victim, least = c, value
		}
	}
	return victim
}

// hasWaitingRequests reports whether requests wait for an adapter.
func (p *Planner) hasWaitingRequests(now time.Time, adapter deployment.Adapter) bool {
	known, ok := p.demand[adapter]
	if !ok {
		return false
	}
	waiting, _ := known.waiting.count(now, 0)
	return waiting > 0
}

// withdraw stops offering a copy for requests. The copy is unloaded once all instances have seen the withdrawal and
// no longer use the copy.
func (p *Planner) withdraw(now time.Time, id deployment.EndpointID, c *copyPlan) {
	p.lastWithdrawal = p.nextWithdrawalNumber()
	c.state, c.since, c.withdrawalNumber = copyWithdrawn, now, p.lastWithdrawal
	p.changed[id] = true
}

// nextWithdrawalNumber returns a number higher than that of every earlier withdrawal.
func (p *Planner) nextWithdrawalNumber() uint64 {
	if p.options.NextWithdrawalNumber == nil {
		return p.lastWithdrawal + 1
	}
	return p.options.NextWithdrawalNumber()
}

// withdrawOutdated withdraws copies of an older version once a newer copy takes requests, when the adapter is rarely
// requested, when a request was recalled from them, or when no request may begin on that version any more. Some endpoints
// keep a request in their queue though its instance took it back; only the unload of the copy keeps it from beginning there.
func (p *Planner) withdrawOutdated(now time.Time) {
	for id, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			known, ok := p.demand[adapter]
			if !ok || c.state != copyResident || c.version >= known.version {
				continue
			}
			if p.copyCounts[adapter].usable > 0 || known.perSecond*valueHorizon.Seconds() < minWorthwhileUse || c.isRecalled() || c.version < p.oldestUsable(now, adapter) {
				p.withdraw(now, id, c)
			}
		}
	}
}

// oldestUsable returns the oldest version of an adapter on which requests may still begin.
func (p *Planner) oldestUsable(now time.Time, adapter deployment.Adapter) int64 {
	if p.options.OldestUsable == nil {
		return 0
	}
	return p.options.OldestUsable(now, adapter)
}

// Withdrawal is a copy that is no longer offered for requests.
type Withdrawal struct {
	Endpoint deployment.EndpointID
	Adapter  deployment.Adapter
	// Number identifies the announcement of the withdrawal; Age is the time since the announcement.
	Number uint64
	Age    time.Duration
}

// ConfirmUnused releases withdrawn copies for unloading; unused reports whether all instances have seen the
// withdrawal and no longer use the copy. A copy that is still in use after withdrawalTimeout is offered again, unless
// it is outdated, so that another copy can be evicted instead.
func (p *Planner) ConfirmUnused(now time.Time, unused func(Withdrawal) bool) {
	for id, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			if c.state != copyWithdrawn {
				continue
			}
			switch {
			case unused(Withdrawal{Endpoint: id, Adapter: adapter, Number: c.withdrawalNumber, Age: now.Sub(c.since)}):
				c.state, c.since = copyUnloading, now
			case now.Sub(c.since) > withdrawalTimeout && p.uses(id, adapter) > 0 && c.version >= p.wantedVersion(adapter):
				c.state, c.since = copyResident, now
				p.changed[id] = true
			}
		}
	}
}

// uses returns the last reported number of requests in flight that use a copy.
func (p *Planner) uses(id deployment.EndpointID, adapter deployment.Adapter) int {
	if p.options.Uses == nil {
		return 0
	}
	return p.options.Uses(id, adapter)
}

// LastWithdrawal returns the number of the last withdrawal.
func (p *Planner) LastWithdrawal() uint64 {
	return p.lastWithdrawal
}
