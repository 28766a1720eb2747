// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"math"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
)

const (
	// waitGrowth is the wait that doubles the value of a load, against starvation.
	waitGrowth       = 20 * time.Second
	horizon          = 30 * time.Second
	copyDiscount     = 0.25
	tenantLoadLife   = 30 * time.Second
	preloadMinRate   = 1e-4
	coldStartFactor  = 0.02
	preloadScanEvery = time.Second
)

// Bid is the most valuable load that a pool asks a permit for.
type Bid struct {
	Adapter fleet.AdapterRef
	Value   float64
	// Preload is true while nobody waits for the adapter.
	Preload bool
}

// placeFor is where a load would go and what it would displace.
type placeFor struct {
	endpoint *endpointState
	victim   *slot
	cost     float64
}

// Bid gives the most valuable load of the pool, if any load is worth a permit.
func (p *Placer) Bid(now time.Time) (Bid, bool) {
	if p.bid.fresh && now.Sub(p.bid.at) < bidFresh {
		return p.bid.bid, p.bid.wants
	}
	bid, _ := p.bestDemand(now)
	wants := bid.Value > 0
	if !wants {
		bid, _, wants = p.bestPreload(now)
	}
	p.bid = madeBid{bid: bid, wants: wants, at: now, fresh: true}
	return bid, wants
}

// madeBid is a bid that holds until the pool changes, or for a short while.
type madeBid struct {
	bid   Bid
	wants bool
	at    time.Time
	fresh bool
}

// bidFresh is how long a bid is good for in a pool where nothing happens.
const bidFresh = 200 * time.Millisecond

// UsePermit spends a permit of the weight store on the best load of this moment;
// it reports false where no load is wanted any more, so that the permit goes back.
func (p *Placer) UsePermit(now time.Time) ([]Effect, bool) {
	bid, place := p.bestDemand(now)
	if bid.Value <= 0 {
		var ok bool
		bid, place, ok = p.bestPreload(now)
		if !ok {
			return p.take(), false
		}
	}
	if place.endpoint == nil {
		return p.take(), false
	}
	p.startLoad(now, bid, place)
	return p.take(), true
}

// demand is one adapter that requests wait for, with the worth of its load.
type demand struct {
	ref   fleet.AdapterRef
	value float64
}

// bestDemand weighs every adapter that requests wait for, and looks for a slot for the
// most valuable ones only, since that costs much more than the weighing.
func (p *Placer) bestDemand(now time.Time) (Bid, placeFor) {
	demands := p.demands(now)
	for len(demands) > 0 {
		best := 0
		for i, d := range demands {
			if d.value > demands[best].value || (d.value == demands[best].value && compareRefs(d.ref, demands[best].ref) < 0) {
				best = i
			}
		}
		d := demands[best]
		if place, ok := p.findPlace(now, d.ref, math.Inf(1)); ok {
			return Bid{Adapter: d.ref, Value: d.value}, place
		}
		p.makeRoom(now, d.ref, p.queue.adapters[d.ref])
		demands[best] = demands[len(demands)-1]
		demands = demands[:len(demands)-1]
		if p.full(now) {
			return Bid{}, placeFor{}
		}
	}
	return Bid{}, placeFor{}
}

// full tells whether no endpoint has a slot to give, for whatever adapter.
func (p *Placer) full(now time.Time) bool {
	for _, e := range p.endpoints {
		if !e.takesLoads(now) {
			continue
		}
		if _, ok := p.placeOn(now, e); ok {
			return false
		}
	}
	return true
}

func (p *Placer) demands(now time.Time) []demand {
	out := p.scratch[:0]
	for ref, a := range p.queue.adapters {
		if ref.IsZero() {
			continue
		}
		if value := p.demandValue(now, ref, a); value > 0 {
			out = append(out, demand{ref: ref, value: value})
		}
	}
	p.scratch = out
	return out
}

// demandValue is the waiting that a load would remove: waiters by weight and the
// arrivals to expect, raised with the wait so that no one starves.
func (p *Placer) demandValue(now time.Time, ref fleet.AdapterRef, a *adapterQueue) float64 {
	if f, ok := p.failures[ref]; ok && now.Before(f.until) {
		return 0
	}
	wait := now.Sub(a.oldest)
	value := a.weight + p.popular.rate(now, ref)*horizon.Seconds()
	value *= 1 + wait.Seconds()/waitGrowth.Seconds()
	value /= 1 + p.tenantLoads(now, a)
	if len(p.copies[ref]) == 0 {
		return value
	}
	if !p.wantsCopy(now, ref, a) {
		return 0
	}
	return value * copyDiscount
}

// wantsCopy tells whether an adapter with copies deserves one more: its queue
// waits for a place, and no copy is on its way.
func (p *Placer) wantsCopy(now time.Time, ref fleet.AdapterRef, a *adapterQueue) bool {
	if a.count <= a.patient && now.Before(a.holdUntil) {
		return false
	}
	if now.Sub(a.oldest) < p.options.SecondCopyWait {
		return false
	}
	for _, e := range p.copies[ref] {
		s := e.slots[ref]
		if s.state != slotResident || s.closing || (e.takesWork() && e.free() > 0) {
			return false
		}
	}
	return true
}

// tenantLoads gives the recent loads made for the tenants that wait, the least of them.
func (p *Placer) tenantLoads(now time.Time, a *adapterQueue) float64 {
	least := math.Inf(1)
	for key := range a.lanes {
		least = math.Min(least, p.recentLoads(now, key.tenant))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func (p *Placer) recentLoads(now time.Time, tenant string) float64 {
	s, ok := p.loadShare[tenant]
	if !ok {
		return 0
	}
	dt := now.Sub(s.last).Seconds()
	return s.fast * math.Exp2(-dt/tenantLoadLife.Seconds())
}

func (p *Placer) countLoad(now time.Time, ref fleet.AdapterRef) {
	a, ok := p.queue.adapters[ref]
	if !ok {
		return
	}
	for key := range a.lanes {
		recent := p.recentLoads(now, key.tenant)
		p.loadShare[key.tenant] = &arrivalStat{fast: recent + 1/float64(len(a.lanes)), last: now}
	}
}

// startLoad orders the load and takes the victim out of the books first.
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
	if e == nil || e.incarnation != incarnation {
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
		delete(p.failures, ref)
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
	}
	return p.take()
}

// inspect holds further orders back until the endpoint's own list is known.
func (p *Placer) inspect(e *endpointState) {
	e.uncertain = true
	p.effects = append(p.effects, Inspect{Pool: p.pool, Endpoint: e.spec.Name})
}

// failed counts a failed load, backs off and refuses the waiters when it keeps failing.
func (p *Placer) failed(now time.Time, ref fleet.AdapterRef, endpoint, cause string) {
	f, ok := p.failures[ref]
	if !ok {
		f = &failure{}
		p.failures[ref] = f
	}
	f.count++
	wait := float64(p.options.BackoffBase) * math.Pow(2, float64(min(f.count, 10)-1)) * jitter(ref, f.count)
	f.until = now.Add(min(time.Duration(wait), p.options.BackoffMax))
	p.note(now, fleet.Event{Kind: fleet.EventLoadFailed, Adapter: ref.String(), Endpoint: endpoint, Cause: cause, Value: float64(f.count)})
	if f.count < p.options.GiveUpFailures || len(p.copies[ref]) > 0 {
		return
	}
	p.refuseAdapter(now, ref, fleet.Refusal{Reason: fleet.ReasonLoadFailing, RetryAfter: f.until.Sub(now)})
}

func (p *Placer) refuseAdapter(now time.Time, ref fleet.AdapterRef, refusal fleet.Refusal) {
	a, ok := p.queue.adapters[ref]
	if !ok {
		return
	}
	for _, l := range a.lanes {
		for _, w := range l.waiters {
			if w == nil || w.gone {
				continue
			}
			p.queue.remove(w)
			p.refuse(now, w.request, refusal)
		}
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
