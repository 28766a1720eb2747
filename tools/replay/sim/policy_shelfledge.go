// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
	"github.com/shelfledge/shelfledge/tools/timeline"
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
	world    *world
	options  placement.Options
	pools    []*pool
	byName   map[string]*pool
	byEngine map[*engine]*pool
	routers  map[string]*routing.Router
	epoch    uint64
	planned  bool
	budget   *budgets
}

// pool is one pool of endpoints with the placer that decides for it and the instance that runs
// it; the placer is nil between the loss of that instance and the takeover.
type pool struct {
	fleet.Pool
	owner     string
	placer    *placement.Placer
	publisher *routing.Publisher
	changed   bool
	wake      alarm
}

func newProduct(w *world) *product {
	p := &product{
		world: w, options: placement.DefaultOptions(), byName: make(map[string]*pool), byEngine: make(map[*engine]*pool),
		routers: make(map[string]*routing.Router),
	}
	p.options.Classes = w.fleet.productClasses()
	p.budget = newBudgets(p)
	var specs []fleet.Endpoint
	for _, e := range w.fleet.Endpoints {
		specs = append(specs, e.spec())
	}
	built := fleet.BuildPools(specs)
	for _, one := range built {
		pl := &pool{Pool: one, owner: ring.Best(one.Name, w.liveIn(one.Hall))}
		p.pools = append(p.pools, pl)
		p.byName[pl.Name] = pl
		for _, e := range pl.Endpoints {
			p.byEngine[w.engines[e.Name]] = pl
		}
		p.adopt(start, pl)
	}
	for _, h := range w.fleet.Halls {
		p.routers[h.Name] = routing.NewRouter(h.Name, built, routing.DefaultOptions())
	}
	p.publish(start)
	p.budget.share(start)
	return p
}

// adopt makes a pool's placer anew from what the endpoints show.
func (p *product) adopt(now time.Time, pl *pool) {
	p.epoch++
	pl.placer = placement.NewPlacer(pl.Name, "replay", pl.Endpoints, p.options)
	pl.publisher = routing.NewPublisher(p.epoch)
	for _, spec := range pl.Endpoints {
		p.run(now, pl, pl.placer.TakeOverEndpoint(now, p.inspect(now, spec.Name), p.epoch, now))
		p.run(now, pl, pl.placer.SetLeaving(now, spec.Name, !p.world.engines[spec.Name].leavingAt.IsZero()))
	}
	pl.changed = true
}

func (p *product) inspect(now time.Time, endpoint string) placement.Inspection {
	e := p.world.engines[endpoint]
	in := placement.Inspection{Endpoint: endpoint, Incarnation: strconv.Itoa(e.incarnation), StartedAt: now, Up: true}
	in.Resident = slices.SortedFunc(maps.Keys(e.resident), func(a, b fleet.AdapterRef) int { return strings.Compare(a.String(), b.String()) })
	in.Running = slices.Collect(maps.Keys(e.using))
	return in
}

// decide lets a pool's placer decide, if it has one, and spends the permits that follow.
func (p *product) decide(now time.Time, pl *pool, decision func(*placement.Placer) []placement.Effect) {
	if pl == nil || pl.placer == nil {
		return
	}
	p.run(now, pl, decision(pl.placer))
	p.budget.spend(now)
}

func (p *product) arrive(now time.Time, r *request) {
	p.routers[r.Hall].ConfirmSummaries(now)
	name, ok := p.routers[r.Hall].Choose(now, r.Request, nil)
	if !ok {
		p.world.refuse(now, r)
		return
	}
	r.pool = name
	if p.byName[name].placer == nil {
		// The pool is between two placers; the entry asks again, if no placer got the request meanwhile.
		p.world.agenda.Add(now.Add(takeoverDelay), func(at time.Time) {
			if !r.done() && r.run == nil {
				p.arrive(at, r)
			}
		})
		return
	}
	p.decide(now, p.byName[name], func(placer *placement.Placer) []placement.Effect { return placer.Submit(now, r.Request) })
}

func (p *product) ended(now time.Time, r *request, _ *engine) {
	pl, ticket := p.byName[r.pool], r.ticket
	r.pool, r.ticket = "", ""
	p.decide(now, pl, func(placer *placement.Placer) []placement.Effect { return placer.ReturnTicket(now, ticket) })
}

func (p *product) expired(now time.Time, r *request) {
	pl := p.byName[r.pool]
	r.pool, r.ticket = "", ""
	if pl != nil && pl.placer != nil {
		p.run(now, pl, pl.placer.Withdraw(now, r.ID))
	}
}

func (p *product) loaded(now time.Time, e *engine, ref fleet.AdapterRef, ok bool) {
	p.budget.loadEnded(now, e, ref)
	result := placement.LoadDone
	if !ok {
		result = placement.LoadFailed
	}
	p.decide(now, p.byEngine[e], func(placer *placement.Placer) []placement.Effect {
		return placer.HandleLoadResult(now, e.entry.Name, strconv.Itoa(e.incarnation), ref, result, "the load failed")
	})
}

func (p *product) restarted(now time.Time, e *engine) {
	p.budget.loadsLost(now, e)
	pl := p.byEngine[e]
	if pl.placer != nil {
		p.run(now, pl, pl.placer.HandleInspection(now, p.inspect(now, e.entry.Name)))
	}
}

func (p *product) leaving(now time.Time, e *engine) {
	pl := p.byEngine[e]
	if pl.placer != nil {
		p.run(now, pl, pl.placer.SetLeaving(now, e.entry.Name, true))
	}
}

func (p *product) cut(now time.Time) {
	for own, r := range p.routers {
		for _, h := range p.world.fleet.Halls {
			r.SetCutOff(h.Name, p.world.apart(h.Name, own))
		}
	}
	p.budget.share(now)
}

func (p *product) storeRate(now time.Time, rate float64) {
	p.budget.limits.LoadsPerSecond = rate
	p.budget.share(now)
	p.budget.spend(now)
}

// kvDown freezes, once the leases have lapsed, the endpoints that do not check fences.
func (p *product) kvDown(now, until time.Time) {
	lapse := now.Add(leaseLife)
	if !lapse.Before(until) {
		return
	}
	p.world.agenda.Add(lapse, func(at time.Time) {
		for _, pl := range p.pools {
			if pl.placer == nil || pl.ChecksFence() {
				continue
			}
			for _, e := range pl.Endpoints {
				p.run(at, pl, pl.placer.Freeze(at, e.Name, until, "the lease lapsed and cannot be renewed"))
			}
		}
	})
}

// instanceLost takes an instance's pools away until a successor has taken them over.
func (p *product) instanceLost(now time.Time, instance string) {
	for _, pl := range p.pools {
		if pl.owner == instance {
			pl.placer, pl.owner = nil, ring.Best(pl.Name, p.world.liveIn(pl.Hall))
			p.world.agenda.Add(now.Add(takeoverDelay), func(at time.Time) { p.takeover(at, pl) })
		} else if pl.placer != nil {
			p.run(now, pl, pl.placer.HandleEntryLoss(now, instance))
		}
	}
}

func (p *product) takeover(now time.Time, pl *pool) {
	p.adopt(now, pl)
	var waiting []*request
	for _, r := range p.world.list {
		switch {
		case r.pool != pl.Name:
		case r.run != nil:
			p.run(now, pl, pl.placer.RestoreTicket(now, ticketOf(r), r.Request))
		default:
			waiting = append(waiting, r)
		}
	}
	for _, r := range waiting {
		p.run(now, pl, pl.placer.Submit(now, r.Request))
	}
	p.budget.spend(now)
}

func ticketOf(r *request) fleet.Ticket {
	e := r.run.engine
	return fleet.Ticket{
		ID: r.ticket, RequestID: r.ID, Pool: r.pool, Endpoint: e.entry.Name,
		Incarnation: strconv.Itoa(e.incarnation), Adapter: r.Adapter, Entry: r.Entry,
	}
}

// run carries out a placer's effects.
func (p *product) run(now time.Time, pl *pool, effects []placement.Effect) {
	if len(effects) > 0 {
		p.markChanged(now, pl)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.Grant:
			r := p.world.requests[e.Request.ID]
			r.ticket = e.Ticket.ID
			p.world.start(now, r, p.world.engines[e.Ticket.Endpoint])
		case placement.Refuse:
			r := p.world.requests[e.Request.ID]
			r.pool, r.ticket = "", ""
			p.world.refuse(now, r)
		case placement.Load:
			p.world.load(now, p.world.engines[e.Endpoint], e.Evict, e.Adapter)
		case placement.RepeatTakeover:
			// A restarted endpoint is taken again; the model answers at once.
			p.epoch++
			p.run(now, pl, pl.placer.TakeOverEndpoint(now, p.inspect(now, e.Endpoint), p.epoch, now))
		case placement.InspectEndpoint:
			p.world.agenda.Add(now, func(at time.Time) {
				p.decide(at, pl, func(placer *placement.Placer) []placement.Effect {
					return placer.HandleInspection(at, p.inspect(at, e.Endpoint))
				})
			})
		}
	}
	p.planTick(now, pl)
}

// planTick sees to it that the pool's Tick is called in time.
func (p *product) planTick(now time.Time, pl *pool) {
	if pl.placer == nil {
		return
	}
	next := pl.placer.NextWake()
	if !next.IsZero() && !next.After(now) {
		next = now.Add(time.Millisecond)
	}
	pl.wake.plan(now, next, &p.world.agenda, func(at time.Time) {
		p.decide(at, pl, func(placer *placement.Placer) []placement.Effect { return placer.Tick(at) })
	})
}

func (p *product) markChanged(now time.Time, pl *pool) {
	pl.changed = true
	if !p.planned {
		p.planned = true
		p.world.agenda.Add(now.Add(publishEvery), p.publish)
	}
}

// publish brings the summaries of changed pools to every hall that can be reached.
func (p *product) publish(now time.Time) {
	p.planned = false
	for _, pl := range p.pools {
		if pl.placer == nil || !pl.changed {
			continue
		}
		pl.changed = false
		pl.publisher.Update(now, pl.placer.Summary())
		recent := pl.publisher.Partial(now)
		for hall, r := range p.routers {
			if !p.world.apart(hall, pl.Hall) && !r.ApplySummary(now, recent) {
				r.ApplySummary(now, pl.publisher.Full())
			}
		}
	}
	for _, r := range p.routers {
		r.ConfirmSummaries(now)
	}
}

// alarm is the next time that something is woken at; an earlier one replaces it.
type alarm time.Time

// plan has act called at the next time, unless it is zero or an alarm before it is still to come.
func (a *alarm) plan(now, next time.Time, agenda *timeline.Timeline, act func(now time.Time)) {
	planned := time.Time(*a)
	if next.IsZero() || planned.After(now) && !next.Before(planned) {
		return
	}
	*a = alarm(next)
	agenda.Add(next, func(at time.Time) {
		if time.Time(*a).Equal(at) {
			act(at)
		}
	})
}
