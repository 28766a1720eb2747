// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// loadTarget is the endpoint for a load, the slot that it would evict, if any, and the cost of that eviction.
type loadTarget struct {
	endpoint *endpointState
	victim   *slot
	cost     float64
}

// startLoad orders a load. It removes the evicted adapter from the state at once, so that the adapter is no longer granted.
func (p *Placer) startLoad(now time.Time, bid Bid, target loadTarget) {
	e := target.endpoint
	order := Load{Pool: p.pool, Endpoint: e.spec.Name, Incarnation: e.incarnation, Fence: e.fence, Adapter: bid.Adapter, NotAfter: e.orderDeadline}
	s := &slot{adapter: bid.Adapter, state: slotLoading, since: now, lastUsed: now}
	if target.victim != nil {
		order.Evict = target.victim.adapter
		s.evicting = order.Evict
		p.removeCopy(e, order.Evict)
		p.recordEvent(now, fleet.Event{
			Kind: fleet.EventEvict, Adapter: order.Evict.String(), Other: bid.Adapter.String(), Endpoint: e.spec.Name, Fence: e.fence, Value: target.cost,
			Cause: "least expected calls among " + strconv.Itoa(len(e.slots)+1) + " slots, none in use",
		})
	}
	p.addCopy(e, s)
	e.pendingLoads++
	p.loadCount++
	p.recordLoad(now, bid.Adapter)
	p.effects = append(p.effects, order)
	p.recordEvent(now, fleet.Event{Kind: fleet.EventLoad, Adapter: bid.Adapter.String(), Endpoint: e.spec.Name, Fence: e.fence, Value: bid.Value, Cause: loadCause(bid)})
}

func loadCause(b Bid) string {
	if b.Preload {
		return "expected to be called soon"
	}
	return "requests wait for it"
}

// HandleLoadResult handles the outcome of an ordered load.
func (p *Placer) HandleLoadResult(now time.Time, endpoint, incarnation string, ref fleet.AdapterRef, outcome LoadOutcome, cause string) []Effect {
	e := p.endpointByName[endpoint]
	if e == nil {
		return p.takeEffects()
	}
	if e.incarnation != incarnation {
		p.endPreviousOrder(now, e, previousOrder{incarnation: incarnation, adapter: ref}, outcome)
		return p.takeEffects()
	}
	s := e.slots[ref]
	if s == nil || s.state != slotLoading {
		return p.takeEffects()
	}
	e.pendingLoads--
	switch outcome {
	case LoadDone:
		s.state = slotResident
		s.since = now
		s.lastUsed = now
		p.failures.RecordSuccess(ref)
		p.recordEvent(now, fleet.Event{Kind: fleet.EventLoaded, Adapter: ref.String(), Endpoint: endpoint})
		p.dispatchEndpoint(now, e)
	case LoadFailed:
		p.removeCopy(e, ref)
		p.handleLoadFailure(now, ref, endpoint, cause)
		p.requestInspection(e)
	case LoadUnknown:
		s.state = slotUnknown
		p.recordEvent(now, fleet.Event{Kind: fleet.EventSlotUnknown, Adapter: ref.String(), Endpoint: endpoint, Cause: cause})
		p.requestInspection(e)
		p.guardLateOrder(now, e, s.evicting)
	}
	return p.takeEffects()
}

// guardLateOrder protects against an unanswered order that may still arrive. An endpoint that checks fences is taken
// over again under a new fence, under which it refuses the order. On other endpoints, the adapter that the order unloads is not used
// until the order can no longer arrive.
func (p *Placer) guardLateOrder(now time.Time, e *endpointState, evicted fleet.AdapterRef) {
	if e.spec.ChecksFence {
		e.fenceLost = true
		p.effects = append(p.effects, RepeatTakeover{Endpoint: e.spec.Name})
		return
	}
	if !evicted.IsZero() {
		e.unansweredUnloads[evicted] = now.Add(p.options.OrderMargin)
	}
}

// endPreviousOrder handles the result of an order that was sent to an earlier incarnation. The endpoint is used again after
// an inspection that began after this result.
func (p *Placer) endPreviousOrder(now time.Time, e *endpointState, order previousOrder, outcome LoadOutcome) {
	if _, ok := e.previousOrders[order]; !ok {
		return
	}
	if outcome == LoadUnknown {
		e.previousOrders[order] = now.Add(p.options.OrderMargin)
		return
	}
	delete(e.previousOrders, order)
	e.inspectedAt = now
	p.requestInspection(e)
}

// requestInspection requests the endpoint's report and blocks further orders until it arrives.
func (p *Placer) requestInspection(e *endpointState) {
	e.uncertain = true
	p.effects = append(p.effects, InspectEndpoint{Pool: p.pool, Endpoint: e.spec.Name})
}

// handleLoadFailure counts a failed load, delays the next one and, after repeated failures, refuses the waiting requests.
func (p *Placer) handleLoadFailure(now time.Time, ref fleet.AdapterRef, endpoint, cause string) {
	f := p.failures.RecordFailure(now, ref)
	p.recordEvent(now, fleet.Event{Kind: fleet.EventLoadFailed, Adapter: ref.String(), Endpoint: endpoint, Cause: cause, Value: float64(f.Count)})
	if !p.failures.GivenUp(f) || len(p.copies[ref]) > 0 {
		return
	}
	p.refuseAdapter(now, ref, fleet.Refusal{Reason: fleet.ReasonLoadFailing, RetryAfter: f.RetryAt.Sub(now)})
}

func (p *Placer) refuseAdapter(now time.Time, ref fleet.AdapterRef, refusal fleet.Refusal) {
	a, ok := p.queue.Adapter(ref)
	if !ok {
		return
	}
	for w := range a.All() {
		p.queue.Remove(w)
		p.refuse(now, w.Request, refusal)
	}
}

func (p *Placer) addCopy(e *endpointState, s *slot) {
	e.slots[s.adapter] = s
	p.copies[s.adapter] = append(p.copies[s.adapter], e)
}

func (p *Placer) removeCopy(e *endpointState, ref fleet.AdapterRef) {
	delete(e.slots, ref)
	list := p.copies[ref]
	for i, other := range list {
		if other == e {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(p.copies, ref)
		return
	}
	p.copies[ref] = list
}
