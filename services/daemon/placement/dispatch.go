// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

const (
	// prefixBonus is added to the score of the endpoint that last ran a request with the same prompt prefix; a full batch scores 1. A higher
	// bonus keeps requests with equal prefixes together but fills batches less evenly.
	prefixBonus = 0.3
	// crowdedFill is the used share of a batch above which interactive requests prefer a less loaded endpoint. A higher share makes fuller
	// batches, a lower one shorter steps.
	crowdedFill = 0.85
	// interactiveQuietPeriod is the time without interactive requests after which patient requests may use the places reserved for them. A
	// longer time leaves places idle, a shorter one makes the first interactive request wait.
	interactiveQuietPeriod = 10 * time.Minute
	// minCustomerPlaces is the number of places in a batch that one customer may always use, so that a single customer can use a small batch.
	minCustomerPlaces = 2
)

// chooseEndpoint returns the endpoint with the highest score among those that can start the request now, or nil.
func (p *Placer) chooseEndpoint(now time.Time, r fleet.Request, class fleet.Class) *endpointState {
	var best *endpointState
	var bestScore float64
	for _, e := range p.candidates(r) {
		if !p.mayStart(now, e, r, class) {
			continue
		}
		score := p.score(e, r, class)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// candidates returns the endpoints with a copy of the request's adapter, or all endpoints if the request names no adapter.
func (p *Placer) candidates(r fleet.Request) []*endpointState {
	if r.Adapter.IsZero() {
		return p.endpoints
	}
	return p.copies[r.Adapter]
}

// mayStart reports whether the request may take a place in the endpoint's batch now.
func (p *Placer) mayStart(now time.Time, e *endpointState, r fleet.Request, class fleet.Class) bool {
	if !e.acceptsRequests() || e.freePlaces() <= 0 || !e.spec.Serves(r.Base) {
		return false
	}
	if r.Avoid == e.spec.Name && len(p.candidates(r)) > 1 {
		return false
	}
	if !r.Adapter.IsZero() {
		s := e.slots[r.Adapter]
		if s == nil || s.state != slotResident || s.closing {
			return false
		}
	}
	if !p.withinCustomerShare(e, r) {
		return false
	}
	if class.Patient {
		return p.patientMayStart(now, e)
	}
	return true
}

// withinCustomerShare reports whether the request's customer may use another place of the batch, so that one customer does not fill it.
func (p *Placer) withinCustomerShare(e *endpointState, r fleet.Request) bool {
	limit := int(p.options.CustomerBatchShare * float64(e.spec.MaxBatch))
	limit = max(limit, minCustomerPlaces)
	return e.ticketsByCustomer[r.Caller] < limit
}

// patientMayStart reports whether a patient request may start on the endpoint. It keeps a
// reserve of places for interactive requests, and holds patient requests back until other
// requests are running or enough patient requests wait for a batch.
func (p *Placer) patientMayStart(now time.Time, e *endpointState) bool {
	reserve := 0
	if now.Sub(p.lastInteractive) < interactiveQuietPeriod {
		reserve = max(1, int(p.options.ReserveShare*float64(e.spec.MaxBatch)))
	}
	if e.freePlaces() <= reserve {
		return false
	}
	return e.running > 0 || p.enoughPatientWaiting(now, e)
}

// enoughPatientWaiting reports whether enough patient requests wait for the endpoint's adapters, or one of them may not be held any longer.
func (p *Placer) enoughPatientWaiting(now time.Time, e *endpointState) bool {
	waiting := 0
	for ref, s := range e.slots {
		a, ok := p.queue.Adapter(ref)
		if !ok || s.state != slotResident {
			continue
		}
		if a.PatientCount() == 0 {
			continue
		}
		waiting += a.PatientCount()
		if now.After(a.HoldUntil()) {
			return true
		}
	}
	return float64(waiting) >= p.options.GatherShare*float64(e.spec.MaxBatch)
}

// score rates an endpoint for a request. Fuller batches score higher up to crowdedFill; above it, less full ones do if the
// request is interactive. An endpoint that last ran the same prompt prefix gets a bonus.
func (p *Placer) score(e *endpointState, r fleet.Request, class fleet.Class) float64 {
	batchFill := e.batchFill()
	score := batchFill
	if batchFill > crowdedFill && !class.Patient {
		score = crowdedFill - batchFill
	}
	if r.Prefix != 0 && p.prefixes.endpointByPrefix[r.Prefix] == e.spec.Name {
		score += prefixBonus
	}
	return score
}

// grant assigns the request a place on the endpoint. stalled is the part of its waiting time that was caused by a load.
func (p *Placer) grant(now time.Time, e *endpointState, r fleet.Request, queued time.Time, stalled time.Duration) {
	ticket := fleet.Ticket{
		ID:          p.nextTicketID(),
		RequestID:   r.ID,
		Pool:        p.pool,
		Endpoint:    e.spec.Name,
		Incarnation: e.incarnation,
		Adapter:     r.Adapter,
		Fence:       e.fence,
		Placer:      p.instance,
		Entry:       r.Entry,
		StartWithin: p.options.StartWithin,
		Queued:      now.Sub(queued),
		Stalled:     stalled,
	}
	granted := &grantedTicket{ticket: ticket, request: r, grantedAt: now}
	p.tickets[ticket.ID] = granted
	p.ticketByRequest[r.ID] = granted
	e.addTicket(ticket, r.Caller)
	if s, ok := e.slots[r.Adapter]; ok {
		s.lastUsed = now
	}
	p.prefixes.set(r.Prefix, e.spec.Name)
	p.effects = append(p.effects, Grant{Request: r, Ticket: ticket})
	p.recordEvent(now, fleet.Event{Kind: fleet.EventGrant, Request: r.ID, Adapter: r.Adapter.String(), Endpoint: e.spec.Name, Fence: e.fence, Value: now.Sub(queued).Seconds()})
}

// dispatchAdapter starts waiting requests on the endpoints that hold the adapter, or on all endpoints if no adapter is named.
func (p *Placer) dispatchAdapter(now time.Time, ref fleet.AdapterRef) {
	if ref.IsZero() {
		for _, e := range p.endpoints {
			p.dispatchEndpoint(now, e)
		}
		return
	}
	for _, e := range p.copies[ref] {
		p.dispatchEndpoint(now, e)
	}
}

// dispatchEndpoint fills the endpoint's batch from the queue in the order of Waiter.Before.
func (p *Placer) dispatchEndpoint(now time.Time, e *endpointState) {
	for e.acceptsRequests() && e.freePlaces() > 0 {
		w := p.nextWaiter(now, e)
		if w == nil {
			return
		}
		p.queue.Dispatch(w)
		p.grant(now, e, w.Request, w.Queued, p.loadStall(now, e, w))
	}
}

// loadStall returns the part of a request's waiting time that was caused by the load of its adapter.
func (p *Placer) loadStall(now time.Time, e *endpointState, w *queue.Waiter) time.Duration {
	s, ok := e.slots[w.Request.Adapter]
	if !ok || !s.since.After(w.Queued) {
		return 0
	}
	return min(s.since.Sub(w.Queued), now.Sub(w.Queued))
}

// nextWaiter returns the waiter that gets the next free place of the endpoint, or nil.
func (p *Placer) nextWaiter(now time.Time, e *endpointState) *queue.Waiter {
	var best *queue.Waiter
	if p.queue.Len() == 0 {
		return nil
	}
	if e.spec.Kind == fleet.KindPlain {
		return p.nextWaiterOf(now, e, fleet.AdapterRef{}, best)
	}
	for ref := range e.slots {
		best = p.nextWaiterOf(now, e, ref, best)
	}
	return best
}

func (p *Placer) nextWaiterOf(now time.Time, e *endpointState, ref fleet.AdapterRef, best *queue.Waiter) *queue.Waiter {
	a, ok := p.queue.Adapter(ref)
	if !ok {
		return best
	}
	for w := range a.Heads() {
		if !w.Before(best, now, p.options.AgingStep) {
			continue
		}
		if w.Request.Expired(now) || !p.mayStart(now, e, w.Request, w.Class) {
			continue
		}
		best = w
	}
	return best
}

// waitCause returns the reason why a request is queued.
func (p *Placer) waitCause(r fleet.Request) string {
	copies := p.copies[r.Adapter]
	if r.Adapter.IsZero() {
		return "every place is taken"
	}
	if len(copies) == 0 {
		return "the adapter is not loaded"
	}
	for _, e := range copies {
		if s := e.slots[r.Adapter]; s != nil && s.state == slotResident {
			return "every batch that holds the adapter is full or reserved"
		}
	}
	return "the adapter is being loaded"
}
