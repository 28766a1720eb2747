// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// placeFor is where a load would go and what it would displace.
type placeFor struct {
	endpoint *endpointState
	victim   *slot
	cost     float64
}

// startLoad orders the load and forgets the slot's adapter first.
func (p *Placer) startLoad(now time.Time, bid Bid, place placeFor) {
	e := place.endpoint
	order := Load{Pool: p.pool, Endpoint: e.spec.Name, Incarnation: e.incarnation, Fence: e.fence, Adapter: bid.Adapter, NotAfter: e.ordersUntil}
	s := &slot{adapter: bid.Adapter, state: slotLoading, since: now, lastUsed: now}
	if place.victim != nil {
		order.Evict = place.victim.adapter
		s.evicting = order.Evict
		p.dropCopy(e, order.Evict)
		p.note(now, fleet.Event{
			Kind: fleet.EventEvict, Adapter: order.Evict.String(), Other: bid.Adapter.String(), Endpoint: e.spec.Name, Fence: e.fence, Value: place.cost,
			Cause: "least expected calls among " + strconv.Itoa(len(e.slots)+1) + " slots, none in use",
		})
	}
	p.addCopy(e, s)
	e.loading++
	p.loads++
	p.countLoad(now, bid.Adapter)
	p.effects = append(p.effects, order)
	p.note(now, fleet.Event{Kind: fleet.EventLoad, Adapter: bid.Adapter.String(), Endpoint: e.spec.Name, Fence: e.fence, Value: bid.Value, Cause: loadCause(bid)})
}

func loadCause(b Bid) string {
	if b.Preload {
		return "expected to be called soon"
	}
	return "requests wait for it"
}

// Loaded takes the end of an ordered load.
func (p *Placer) Loaded(now time.Time, endpoint, incarnation string, ref fleet.AdapterRef, result LoadResult, cause string) []Effect {
	e := p.byName[endpoint]
	if e == nil {
		return p.take()
	}
	if e.incarnation != incarnation {
		p.endFormerOrder(now, e, formerOrder{incarnation: incarnation, adapter: ref}, result)
		return p.take()
	}
	s := e.slots[ref]
	if s == nil || s.state != slotLoading {
		return p.take()
	}
	e.loading--
	switch result {
	case LoadDone:
		s.state = slotResident
		s.since = now
		s.lastUsed = now
		p.failures.Succeed(ref)
		p.note(now, fleet.Event{Kind: fleet.EventLoaded, Adapter: ref.String(), Endpoint: endpoint})
		p.dispatchEndpoint(now, e)
	case LoadFailed:
		p.dropCopy(e, ref)
		p.failed(now, ref, endpoint, cause)
		p.inspect(e)
	case LoadUnknown:
		s.state = slotUnknown
		p.note(now, fleet.Event{Kind: fleet.EventSlotUnknown, Adapter: ref.String(), Endpoint: endpoint, Cause: cause})
		p.inspect(e)
		p.guardLateOrder(now, e, s.evicting)
	}
	return p.take()
}

// guardLateOrder guards against an order whose end is not known, and which may only be late: under a new fence the endpoint
// refuses it; where no fence is checked, what it unloads is not used until it must have arrived.
func (p *Placer) guardLateOrder(now time.Time, e *endpointState, evicted fleet.AdapterRef) {
	if e.spec.ChecksFence {
		e.fenceLost = true
		p.effects = append(p.effects, Retake{Endpoint: e.spec.Name})
		return
	}
	if !evicted.IsZero() {
		e.lateUnloads[evicted] = now.Add(p.options.OrderMargin)
	}
}

// endFormerOrder takes the end of an order of a former life: the endpoint is used again by a list that began after it.
func (p *Placer) endFormerOrder(now time.Time, e *endpointState, order formerOrder, result LoadResult) {
	if _, ok := e.formerOrders[order]; !ok {
		return
	}
	if result == LoadUnknown {
		e.formerOrders[order] = now.Add(p.options.OrderMargin)
		return
	}
	delete(e.formerOrders, order)
	e.seen = now
	p.inspect(e)
}

// inspect holds further orders back until the endpoint's own list is known.
func (p *Placer) inspect(e *endpointState) {
	e.uncertain = true
	p.effects = append(p.effects, Inspect{Pool: p.pool, Endpoint: e.spec.Name})
}

// failed counts a failed load, backs off and refuses the waiters when it keeps failing.
func (p *Placer) failed(now time.Time, ref fleet.AdapterRef, endpoint, cause string) {
	f := p.failures.Fail(now, ref)
	p.note(now, fleet.Event{Kind: fleet.EventLoadFailed, Adapter: ref.String(), Endpoint: endpoint, Cause: cause, Value: float64(f.Count)})
	if !p.failures.GivenUp(f) || len(p.copies[ref]) > 0 {
		return
	}
	p.refuseAdapter(now, ref, fleet.Refusal{Reason: fleet.ReasonLoadFailing, RetryAfter: f.Until.Sub(now)})
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

func (p *Placer) dropCopy(e *endpointState, ref fleet.AdapterRef) {
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
