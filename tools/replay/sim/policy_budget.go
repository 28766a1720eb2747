// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// budgets divides the load rate of the weight store among the pools. It has one ledger for each group of halls that can
// reach one another. The key of a group is the hall's name for a hall that is cut off, and "" for all other halls.
type budgets struct {
	productPolicy *productPolicy
	limits        budget.Limits
	ledgers       map[string]*budget.Ledger
	permits       map[loadKey]heldPermit
	wake          wakeTimer
}

// loadKey identifies a load of an adapter on an endpoint.
type loadKey struct {
	engine  *engine
	adapter fleet.AdapterRef
}

// heldPermit is a permit in use and the ledger that granted it.
type heldPermit struct {
	ledger *budget.Ledger
	id     uint64
}

func newBudgets(p *productPolicy) *budgets {
	s := p.world.fleet.WeightStore
	return &budgets{
		productPolicy: p, limits: budget.Limits{LoadsPerSecond: s.LoadsPerSecond, AtFullSpeed: s.AtFullSpeed},
		ledgers: make(map[string]*budget.Ledger), permits: make(map[loadKey]heldPermit),
	}
}

func (b *budgets) groupOf(hall string) string {
	if b.productPolicy.world.cutHalls[hall] {
		return hall
	}
	return ""
}

// shareLimits creates the ledgers of new groups and divides the limits among all groups by their number of halls.
func (b *budgets) shareLimits(now time.Time) {
	halls := b.productPolicy.world.fleet.Halls
	sizes := make(map[string]int)
	for _, h := range halls {
		group := b.groupOf(h.Name)
		sizes[group]++
		if b.ledgers[group] == nil {
			b.ledgers[group] = budget.NewLedger(now, b.limits, permitLifetime)
		}
	}
	for group, l := range b.ledgers {
		l.SetLimits(now, b.limits.Scale(sizes[group], len(halls)))
	}
}

// grantPermits collects the bids of the pools and uses the permits that the ledgers grant.
func (b *budgets) grantPermits(now time.Time) {
	for _, pl := range b.productPolicy.pools {
		if l := b.ledgers[b.groupOf(pl.Hall)]; l != nil && l.CanGrant(now) {
			updateBid(now, l, pl)
		}
	}
	for _, group := range slices.Sorted(maps.Keys(b.ledgers)) {
		b.grantFrom(now, b.ledgers[group])
	}
}

// updateBid updates a pool's bid in the ledger; a value of 0 withdraws the bid.
func updateBid(now time.Time, l *budget.Ledger, pl *pool) {
	if pl.placer == nil {
		l.SetBid(now, pl.Name, 0, false)
		return
	}
	wanted, ok := pl.placer.BestBid(now)
	if !ok {
		wanted.Value = 0
	}
	l.SetBid(now, pl.Name, wanted.Value, wanted.Preload)
}

func (b *budgets) grantFrom(now time.Time, l *budget.Ledger) {
	for {
		permit, ok := l.Grant(now)
		if !ok {
			break
		}
		b.usePermit(now, l, permit)
	}
	b.wake.schedule(now, l.NextWake(now), &b.productPolicy.world.agenda, b.grantPermits)
}

func (b *budgets) usePermit(now time.Time, l *budget.Ledger, permit budget.Permit) {
	pl := b.productPolicy.byName[permit.Pool]
	if pl.placer == nil {
		l.ReturnPermit(now, permit.ID, false)
		return
	}
	effects, used := pl.placer.UsePermit(now)
	for _, effect := range effects {
		if e, ok := effect.(placement.Load); ok {
			b.permits[loadKey{b.productPolicy.world.engines[e.Endpoint], e.Adapter}] = heldPermit{ledger: l, id: permit.ID}
		}
	}
	b.productPolicy.run(now, pl, effects)
	if !used {
		l.ReturnPermit(now, permit.ID, false)
		return
	}
	updateBid(now, l, pl)
}

// returnPermit returns the permit of a load to its ledger.
func (b *budgets) returnPermit(now time.Time, e *engine, ref fleet.AdapterRef) {
	key := loadKey{e, ref}
	if held, ok := b.permits[key]; ok {
		delete(b.permits, key)
		held.ledger.ReturnPermit(now, held.id, true)
	}
}

// returnPermitsOf returns the permits of all loads on a restarted endpoint.
func (b *budgets) returnPermitsOf(now time.Time, e *engine) {
	for key := range b.permits {
		if key.engine == e {
			b.returnPermit(now, e, key.adapter)
		}
	}
}
