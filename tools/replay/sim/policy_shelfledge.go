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
	// publishInterval is the delay between a change of a pool and its published summary.
	publishInterval = 250 * time.Millisecond
	// takeoverDelay is the time from the loss of an instance until other instances have taken over its pools.
	takeoverDelay  = time.Second
	permitLifetime = time.Minute
	leaseLifetime  = 10 * time.Second
)

// productPolicy runs the product's own decision functions: a router for each hall, a placer for each pool, and a
// ledger for each group of halls that can reach one another.
type productPolicy struct {
	world            *world
	options          placement.Options
	pools            []*pool
	byName           map[string]*pool
	byEngine         map[*engine]*pool
	routers          map[string]*routing.Router
	epoch            uint64
	publishScheduled bool
	budget           *budgets
}

// pool is a pool of endpoints with its placer and the instance that runs the placer. The placer is nil between the
// loss of that instance and the takeover by another one.
type pool struct {
	fleet.Pool
	owner     string
	placer    *placement.Placer
	publisher *routing.Publisher
	changed   bool
	wake      wakeTimer
}

func newProductPolicy(w *world) *productPolicy {
	p := &productPolicy{
		world: w, options: placement.DefaultOptions(), byName: make(map[string]*pool), byEngine: make(map[*engine]*pool),
		routers: make(map[string]*routing.Router),
	}
	p.options.Classes = w.fleet.productClasses()
	p.budget = newBudgets(p)
	var specs []fleet.Endpoint
	for _, e := range w.fleet.Endpoints {
		specs = append(specs, e.endpoint())
	}
	poolSpecs := fleet.BuildPools(specs)
	for _, poolSpec := range poolSpecs {
		pl := &pool{Pool: poolSpec, owner: ring.Best(poolSpec.Name, w.liveInstances(poolSpec.Hall))}
		p.pools = append(p.pools, pl)
		p.byName[pl.Name] = pl
		for _, e := range pl.Endpoints {
			p.byEngine[w.engines[e.Name]] = pl
		}
		p.createPlacer(start, pl)
	}
	for _, h := range w.fleet.Halls {
		p.routers[h.Name] = routing.NewRouter(h.Name, poolSpecs, routing.DefaultOptions())
	}
	p.publish(start)
	p.budget.shareLimits(start)
	return p
}

// createPlacer creates the placer of a pool from the present state of the pool's endpoints.
func (p *productPolicy) createPlacer(now time.Time, pl *pool) {
	p.epoch++
	pl.placer = placement.NewPlacer(pl.Name, "replay", pl.Endpoints, p.options)
	pl.publisher = routing.NewPublisher(p.epoch)
	for _, spec := range pl.Endpoints {
		p.run(now, pl, pl.placer.TakeOverEndpoint(now, p.inspect(now, spec.Name), p.epoch, now))
		p.run(now, pl, pl.placer.SetLeaving(now, spec.Name, !p.world.engines[spec.Name].leavingAt.IsZero()))
	}
	pl.changed = true
}

func (p *productPolicy) inspect(now time.Time, endpoint string) placement.Inspection {
	e := p.world.engines[endpoint]
	inspection := placement.Inspection{Endpoint: endpoint, Incarnation: strconv.Itoa(e.incarnation), StartedAt: now, Up: true}
	inspection.Resident = slices.SortedFunc(maps.Keys(e.resident), func(a, b fleet.AdapterRef) int { return strings.Compare(a.String(), b.String()) })
	inspection.Running = slices.Collect(maps.Keys(e.runningByAdapter))
	return inspection
}

// runDecision applies a decision of the pool's placer, if the pool has a placer, and then grants load permits.
func (p *productPolicy) runDecision(now time.Time, pl *pool, decision func(*placement.Placer) []placement.Effect) {
	if pl == nil || pl.placer == nil {
		return
	}
	p.run(now, pl, decision(pl.placer))
	p.budget.grantPermits(now)
}

func (p *productPolicy) requestArrived(now time.Time, r *request) {
	p.routers[r.Hall].ConfirmSummaries(now)
	name, ok := p.routers[r.Hall].Choose(now, r.Request, nil)
	if !ok {
		p.world.refuseRequest(now, r)
		return
	}
	r.pool = name
	if p.byName[name].placer == nil {
		// The pool has no placer until the takeover; the entry then submits the request again, unless the request has
		// finished or started in the meantime.
		p.world.agenda.Add(now.Add(takeoverDelay), func(at time.Time) {
			if !r.finished() && r.run == nil {
				p.requestArrived(at, r)
			}
		})
		return
	}
	p.runDecision(now, p.byName[name], func(placer *placement.Placer) []placement.Effect { return placer.Submit(now, r.Request) })
}

func (p *productPolicy) requestEnded(now time.Time, r *request, _ *engine) {
	pl, ticket := p.byName[r.pool], r.ticket
	r.pool, r.ticket = "", ""
	p.runDecision(now, pl, func(placer *placement.Placer) []placement.Effect { return placer.ReturnTicket(now, ticket) })
}

func (p *productPolicy) expired(now time.Time, r *request) {
	pl := p.byName[r.pool]
	r.pool, r.ticket = "", ""
	if pl != nil && pl.placer != nil {
		p.run(now, pl, pl.placer.Withdraw(now, r.ID))
	}
}

func (p *productPolicy) loadEnded(now time.Time, e *engine, ref fleet.AdapterRef, ok bool) {
	p.budget.returnPermit(now, e, ref)
	result := placement.LoadDone
	if !ok {
		result = placement.LoadFailed
	}
	p.runDecision(now, p.byEngine[e], func(placer *placement.Placer) []placement.Effect {
		return placer.HandleLoadResult(now, e.entry.Name, strconv.Itoa(e.incarnation), ref, result, "the load failed")
	})
}

func (p *productPolicy) endpointRestarted(now time.Time, e *engine) {
	p.budget.returnPermitsOf(now, e)
	pl := p.byEngine[e]
	if pl.placer != nil {
		p.run(now, pl, pl.placer.HandleInspection(now, p.inspect(now, e.entry.Name)))
	}
}

func (p *productPolicy) endpointLeaving(now time.Time, e *engine) {
	pl := p.byEngine[e]
	if pl.placer != nil {
		p.run(now, pl, pl.placer.SetLeaving(now, e.entry.Name, true))
	}
}

func (p *productPolicy) cut(now time.Time) {
	for hall, r := range p.routers {
		for _, h := range p.world.fleet.Halls {
			r.SetCutOff(h.Name, p.world.isCutBetween(h.Name, hall))
		}
	}
	p.budget.shareLimits(now)
}

func (p *productPolicy) storeRateChanged(now time.Time, rate float64) {
	p.budget.limits.LoadsPerSecond = rate
	p.budget.shareLimits(now)
	p.budget.grantPermits(now)
}

// kvUnavailable freezes the endpoints that do not check fences as soon as the leases expire, if the outage lasts that long.
func (p *productPolicy) kvUnavailable(now, until time.Time) {
	expiry := now.Add(leaseLifetime)
	if !expiry.Before(until) {
		return
	}
	p.world.agenda.Add(expiry, func(at time.Time) {
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

// instanceLost removes the placers of the instance's pools and schedules the takeover by a successor.
func (p *productPolicy) instanceLost(now time.Time, instance string) {
	for _, pl := range p.pools {
		if pl.owner == instance {
			pl.placer, pl.owner = nil, ring.Best(pl.Name, p.world.liveInstances(pl.Hall))
			p.world.agenda.Add(now.Add(takeoverDelay), func(at time.Time) { p.takeOverPool(at, pl) })
		} else if pl.placer != nil {
			p.run(now, pl, pl.placer.HandleEntryLoss(now, instance))
		}
	}
}

func (p *productPolicy) takeOverPool(now time.Time, pl *pool) {
	p.createPlacer(now, pl)
	var waiting []*request
	for _, r := range p.world.requestList {
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
	p.budget.grantPermits(now)
}

func ticketOf(r *request) fleet.Ticket {
	e := r.run.engine
	return fleet.Ticket{
		ID: r.ticket, RequestID: r.ID, Pool: r.pool, Endpoint: e.entry.Name,
		Incarnation: strconv.Itoa(e.incarnation), Adapter: r.Adapter, Entry: r.Entry,
	}
}

// run carries out the effects that a placer returned.
func (p *productPolicy) run(now time.Time, pl *pool, effects []placement.Effect) {
	if len(effects) > 0 {
		p.markChanged(now, pl)
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case placement.Grant:
			r := p.world.requests[e.Request.ID]
			r.ticket = e.Ticket.ID
			p.world.startAttempt(now, r, p.world.engines[e.Ticket.Endpoint])
		case placement.Refuse:
			r := p.world.requests[e.Request.ID]
			r.pool, r.ticket = "", ""
			p.world.refuseRequest(now, r)
		case placement.Load:
			p.world.load(now, p.world.engines[e.Endpoint], e.Evict, e.Adapter)
		case placement.RepeatTakeover:
			// The placer must take over a restarted endpoint again; in this model the endpoint answers at once.
			p.epoch++
			p.run(now, pl, pl.placer.TakeOverEndpoint(now, p.inspect(now, e.Endpoint), p.epoch, now))
		case placement.InspectEndpoint:
			p.world.agenda.Add(now, func(at time.Time) {
				p.runDecision(at, pl, func(placer *placement.Placer) []placement.Effect {
					return placer.HandleInspection(at, p.inspect(at, e.Endpoint))
				})
			})
		}
	}
	p.scheduleTick(now, pl)
}

// scheduleTick schedules the next call of Tick that the pool's placer asked for.
func (p *productPolicy) scheduleTick(now time.Time, pl *pool) {
	if pl.placer == nil {
		return
	}
	next := pl.placer.NextWake()
	if !next.IsZero() && !next.After(now) {
		next = now.Add(time.Millisecond)
	}
	pl.wake.schedule(now, next, &p.world.agenda, func(at time.Time) {
		p.runDecision(at, pl, func(placer *placement.Placer) []placement.Effect { return placer.Tick(at) })
	})
}

func (p *productPolicy) markChanged(now time.Time, pl *pool) {
	pl.changed = true
	if !p.publishScheduled {
		p.publishScheduled = true
		p.world.agenda.Add(now.Add(publishInterval), p.publish)
	}
}

// publish sends the summaries of changed pools to the routers of all reachable halls.
func (p *productPolicy) publish(now time.Time) {
	p.publishScheduled = false
	for _, pl := range p.pools {
		if pl.placer == nil || !pl.changed {
			continue
		}
		pl.changed = false
		pl.publisher.Update(now, pl.placer.Summary())
		partial := pl.publisher.Partial(now)
		for hall, r := range p.routers {
			if !p.world.isCutBetween(hall, pl.Hall) && !r.ApplySummary(now, partial) {
				r.ApplySummary(now, pl.publisher.Full())
			}
		}
	}
	for _, r := range p.routers {
		r.ConfirmSummaries(now)
	}
}

// wakeTimer is the time of the next scheduled call; an earlier call replaces a later one.
type wakeTimer time.Time

// schedule calls act at the time next, unless next is zero or a pending call is due at the same time or earlier.
func (a *wakeTimer) schedule(now, next time.Time, agenda *timeline.Timeline, act func(now time.Time)) {
	planned := time.Time(*a)
	if next.IsZero() || planned.After(now) && !next.Before(planned) {
		return
	}
	*a = wakeTimer(next)
	agenda.Add(next, func(at time.Time) {
		if time.Time(*a).Equal(at) {
			act(at)
		}
	})
}
