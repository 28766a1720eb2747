// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"sort"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/modules/ring"
	"github.com/shelfledge/shelfledge/services/budget"
	"github.com/shelfledge/shelfledge/services/placement"
	"github.com/shelfledge/shelfledge/services/routing"
)

const (
	// publishEvery is how far the summaries lag behind the pools.
	publishEvery = 250 * time.Millisecond
	// takeoverDelay is the time from an instance's loss to its pools taken over.
	takeoverDelay = time.Second
	permitLife    = time.Minute
	leaseLife     = 10 * time.Second
)

// product drives the product's own decisions: a router in each hall, a placer
// for each pool, and a ledger for each group of halls that see one another.
type product struct {
	world     *world
	actions   Actions
	classes   []fleet.Class
	options   placement.Options
	pools     []fleet.Pool
	placers   map[string]*placement.Placer
	publisher map[string]*routing.Publisher
	routers   map[string]*routing.Router
	poolOf    map[string]string
	requests  map[string]fleet.Request
	placedIn  map[string]string
	tickets   map[string]string
	dirty     map[string]bool
	planned   bool
	ledgers   map[string]*budget.Ledger
	permits   map[loadKey]heldPermit
	limits    budget.Limits
	cut       map[string]bool
	lostAt    map[string]time.Time
	epoch     uint64
	wakes     map[string]time.Time
	ledgerAt  time.Time
	leaving   map[string]bool
}

// loadKey names one load on one endpoint.
type loadKey struct {
	endpoint string
	adapter  fleet.AdapterRef
}

// heldPermit is a permit in use and the group of halls whose ledger gave it.
type heldPermit struct {
	group string
	id    uint64
}

func newProduct(w *world, o placement.Options, local bool) Policy {
	p := &product{
		world: w, actions: w.actions(), classes: w.fleet.productClasses(), options: o,
		placers: make(map[string]*placement.Placer), publisher: make(map[string]*routing.Publisher),
		routers: make(map[string]*routing.Router), poolOf: make(map[string]string),
		requests: make(map[string]fleet.Request), placedIn: make(map[string]string), tickets: make(map[string]string),
		dirty: make(map[string]bool), ledgers: make(map[string]*budget.Ledger), permits: make(map[loadKey]heldPermit),
		limits: budget.Limits{LoadsPerSecond: w.fleet.WeightStore.LoadsPerSecond, AtFullSpeed: w.fleet.WeightStore.AtFullSpeed},
		cut:    make(map[string]bool), lostAt: make(map[string]time.Time), wakes: make(map[string]time.Time),
		leaving: make(map[string]bool),
	}
	p.options.Classes = p.classes
	p.build(local)
	policy := noPolicy("shelfledge")
	policy.Arrive = p.arrive
	policy.Ended = p.ended
	policy.Loaded = p.loaded
	policy.Restarted = p.restarted
	policy.Leaving = p.leave
	policy.Cut = p.cutHall
	policy.Store = p.store
	policy.KV = p.kv
	policy.Lost = p.lost
	policy.Expired = p.expired
	return policy
}

func (p *product) build(local bool) {
	var specs []fleet.Endpoint
	for _, e := range p.world.fleet.Endpoints {
		specs = append(specs, e.spec())
	}
	p.pools = fleet.BuildPools(specs)
	for _, pool := range p.pools {
		for _, e := range pool.Endpoints {
			p.poolOf[e.Name] = pool.Name
		}
		p.adopt(start, pool)
	}
	o := routing.DefaultOptions()
	o.LocalOnly = local
	for _, h := range p.world.fleet.Halls {
		p.routers[h.Name] = routing.NewRouter(h.Name, p.pools, o)
	}
	p.publish(start)
	p.renewLedgers(start)
}

// adopt makes a pool's placer anew from what the endpoints tell.
func (p *product) adopt(now time.Time, pool fleet.Pool) {
	p.epoch++
	placer := placement.NewPlacer(pool.Name, "replay", pool.Endpoints, p.options)
	p.placers[pool.Name] = placer
	p.publisher[pool.Name] = routing.NewPublisher(p.epoch)
	for _, spec := range pool.Endpoints {
		p.run(now, pool.Name, placer.Adopt(now, p.inspect(now, spec.Name), p.epoch, now))
		p.run(now, pool.Name, placer.SetLeaving(now, spec.Name, p.leaving[spec.Name]))
	}
	p.dirty[pool.Name] = true
}

func (p *product) inspect(now time.Time, endpoint string) placement.Inspection {
	e := p.world.engines[endpoint]
	in := placement.Inspection{Endpoint: endpoint, Incarnation: strconv.Itoa(e.incarnation), Began: now, Up: true}
	for ref := range e.resident {
		in.Resident = append(in.Resident, ref)
	}
	sort.Slice(in.Resident, func(i, j int) bool { return in.Resident[i].String() < in.Resident[j].String() })
	for ref := range e.using {
		in.Running = append(in.Running, ref)
	}
	return in
}

func (p *product) arrive(now time.Time, r fleet.Request) {
	p.requests[r.ID] = r
	p.routers[r.Hall].Heard(now)
	name, ok := p.routers[r.Hall].Choose(now, r, nil)
	if !ok {
		p.actions.Refuse(now, r.ID, fleet.ReasonNoEndpoint)
		return
	}
	p.placedIn[r.ID] = name
	placer := p.placers[name]
	if placer == nil {
		// The pool is between two placers; the entry asks again.
		p.actions.At(now.Add(takeoverDelay), func(at time.Time) { p.again(at, r.ID) })
		return
	}
	p.run(now, name, placer.Submit(now, r))
	p.permitsFor(now)
}

// again resubmits a request that no placer holds.
func (p *product) again(now time.Time, id string) {
	r, ok := p.requests[id]
	if !ok || p.world.requests[id].done || p.world.requests[id].run != nil {
		return
	}
	p.arrive(now, r)
}

func (p *product) ended(now time.Time, id, _ string, _ fleet.AdapterRef) {
	pool := p.placedIn[id]
	ticket := p.tickets[id]
	p.forget(id)
	if placer := p.placers[pool]; placer != nil {
		p.run(now, pool, placer.Return(now, ticket))
		p.permitsFor(now)
	}
}

func (p *product) expired(now time.Time, id string) {
	pool := p.placedIn[id]
	p.forget(id)
	if placer := p.placers[pool]; placer != nil {
		p.run(now, pool, placer.Cancel(now, id))
	}
}

func (p *product) forget(id string) {
	delete(p.requests, id)
	delete(p.placedIn, id)
	delete(p.tickets, id)
}

func (p *product) loaded(now time.Time, endpoint string, incarnation int, ref fleet.AdapterRef, ok bool) {
	p.permitBack(now, loadKey{endpoint, ref}, true)
	pool := p.poolOf[endpoint]
	placer := p.placers[pool]
	if placer == nil {
		return
	}
	result := placement.LoadDone
	if !ok {
		result = placement.LoadFailed
	}
	p.run(now, pool, placer.Loaded(now, endpoint, strconv.Itoa(incarnation), ref, result, "the load failed"))
	p.permitsFor(now)
}

func (p *product) permitBack(now time.Time, key loadKey, used bool) {
	held, ok := p.permits[key]
	if !ok {
		return
	}
	delete(p.permits, key)
	if l := p.ledgers[held.group]; l != nil {
		l.Done(now, held.id, used)
	}
}

func (p *product) restarted(now time.Time, endpoint string, _ int) {
	for key := range p.permits {
		if key.endpoint == endpoint {
			p.permitBack(now, key, true)
		}
	}
	pool := p.poolOf[endpoint]
	if placer := p.placers[pool]; placer != nil {
		p.run(now, pool, placer.Inspected(now, p.inspect(now, endpoint)))
	}
}

func (p *product) leave(now time.Time, endpoint string) {
	p.leaving[endpoint] = true
	pool := p.poolOf[endpoint]
	if placer := p.placers[pool]; placer != nil {
		p.run(now, pool, placer.SetLeaving(now, endpoint, true))
	}
}

func (p *product) cutHall(now time.Time, hall string, cut bool) {
	p.cut[hall] = cut
	p.applyCuts()
	p.renewLedgers(now)
}

func (p *product) applyCuts() {
	for own, r := range p.routers {
		for _, h := range p.world.fleet.Halls {
			r.SetCut(h.Name, h.Name != own && (p.cut[h.Name] || p.cut[own]))
		}
	}
}

func (p *product) store(now time.Time, rate float64) {
	p.limits.LoadsPerSecond = rate
	p.setLimits(now)
	p.permitsFor(now)
}

// kv freezes, once the leases have lapsed, the endpoints that do not check fences.
func (p *product) kv(now time.Time, up bool, until time.Time) {
	if up {
		return
	}
	p.actions.At(now.Add(leaseLife), func(at time.Time) {
		if !at.Before(until) {
			return
		}
		for _, pool := range p.pools {
			placer := p.placers[pool.Name]
			if placer == nil || pool.ChecksFence() {
				continue
			}
			for _, e := range pool.Endpoints {
				p.run(at, pool.Name, placer.Freeze(at, e.Name, until, "the lease lapsed and cannot be renewed"))
			}
		}
	})
}

// lost takes an instance's pools away until a successor has taken them over.
func (p *product) lost(now time.Time, instance string) {
	for _, pool := range p.pools {
		if p.placerOf(pool) != instance {
			if placer := p.placers[pool.Name]; placer != nil {
				p.run(now, pool.Name, placer.EntryLost(now, instance))
			}
			continue
		}
		p.placers[pool.Name] = nil
		p.actions.At(now.Add(takeoverDelay), func(at time.Time) { p.takeover(at, pool) })
	}
	p.lostAt[instance] = now
}

func (p *product) takeover(now time.Time, pool fleet.Pool) {
	p.adopt(now, pool)
	placer := p.placers[pool.Name]
	var waiting []fleet.Request
	for id, name := range p.placedIn {
		if name != pool.Name {
			continue
		}
		r := p.world.requests[id]
		if r.run != nil {
			p.run(now, pool.Name, placer.Redeclare(now, p.ticketFor(pool.Name, r), r.Request))
			continue
		}
		waiting = append(waiting, p.requests[id])
	}
	sort.Slice(waiting, func(i, j int) bool { return waiting[i].Arrived.Before(waiting[j].Arrived) })
	for _, r := range waiting {
		p.run(now, pool.Name, placer.Submit(now, r))
	}
	p.permitsFor(now)
}

func (p *product) ticketFor(pool string, r *request) fleet.Ticket {
	e := r.run.engine
	return fleet.Ticket{
		ID: p.tickets[r.ID], RequestID: r.ID, Pool: pool, Endpoint: e.entry.Name,
		Incarnation: strconv.Itoa(e.incarnation), Adapter: r.Adapter, Entry: r.Entry,
	}
}

// placerOf names the instance that places a pool, among those not lost.
func (p *product) placerOf(pool fleet.Pool) string {
	var live []string
	for _, h := range p.world.fleet.Halls {
		if h.Name != pool.Hall {
			continue
		}
		for _, i := range h.Instances {
			if _, gone := p.lostAt[i]; !gone {
				live = append(live, i)
			}
		}
	}
	return ring.Best(pool.Name, live)
}

// run carries out a placer's effects.
func (p *product) run(now time.Time, pool string, effects []placement.Effect) {
	if len(effects) > 0 {
		p.markDirty(now, pool)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.Grant:
			p.tickets[e.Request.ID] = e.Ticket.ID
			p.actions.Start(now, e.Request.ID, e.Ticket.Endpoint)
		case placement.Refuse:
			p.forget(e.Request.ID)
			p.actions.Refuse(now, e.Request.ID, e.Refusal.Reason)
		case placement.Load:
			p.actions.Load(now, e.Endpoint, e.Evict, e.Adapter)
		case placement.Retake:
			p.retake(now, pool, e.Endpoint)
		case placement.Inspect:
			p.actions.At(now, func(at time.Time) {
				if placer := p.placers[pool]; placer != nil {
					p.run(at, pool, placer.Inspected(at, p.inspect(at, e.Endpoint)))
					p.permitsFor(at)
				}
			})
		}
	}
	p.plan(now, pool)
}

// retake takes a restarted endpoint again, which the model answers at once.
func (p *product) retake(now time.Time, pool, endpoint string) {
	p.epoch++
	placer := p.placers[pool]
	p.run(now, pool, placer.Adopt(now, p.inspect(now, endpoint), p.epoch, now))
}

// plan sees to it that the pool's Tick is called in time.
func (p *product) plan(now time.Time, pool string) {
	placer := p.placers[pool]
	if placer == nil {
		return
	}
	next := placer.NextWake()
	if next.IsZero() || (p.wakes[pool].After(now) && !next.Before(p.wakes[pool])) {
		return
	}
	if !next.After(now) {
		next = now.Add(time.Millisecond)
	}
	p.wakes[pool] = next
	p.actions.At(next, func(at time.Time) {
		if placer := p.placers[pool]; placer != nil && p.wakes[pool].Equal(at) {
			p.run(at, pool, placer.Tick(at))
			p.permitsFor(at)
		}
	})
}

func (p *product) markDirty(now time.Time, pool string) {
	p.dirty[pool] = true
	if p.planned {
		return
	}
	p.planned = true
	p.actions.At(now.Add(publishEvery), p.publish)
}

// publish brings the summaries of changed pools to every hall that can be reached.
func (p *product) publish(now time.Time) {
	p.planned = false
	for _, pool := range p.pools {
		placer := p.placers[pool.Name]
		if placer == nil || !p.dirty[pool.Name] {
			continue
		}
		p.dirty[pool.Name] = false
		p.publisher[pool.Name].Update(now, placer.Summary())
		s := p.publisher[pool.Name].Recent(now)
		for hall, r := range p.routers {
			if hall != pool.Hall && (p.cut[hall] || p.cut[pool.Hall]) {
				continue
			}
			if !r.Learn(now, s) {
				r.Learn(now, p.publisher[pool.Name].Full())
			}
		}
	}
	for _, r := range p.routers {
		r.Heard(now)
	}
}
