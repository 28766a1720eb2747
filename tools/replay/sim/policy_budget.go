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

// budgets shares the weight store among the pools: one ledger for each group of halls that see
// one another, named for its hall if it is cut off, and empty for all others.
type budgets struct {
	product *product
	limits  budget.Limits
	ledgers map[string]*budget.Ledger
	permits map[loadKey]heldPermit
	wake    alarm
}

// loadKey names one load on one endpoint.
type loadKey struct {
	engine  *engine
	adapter fleet.AdapterRef
}

// heldPermit is a permit in use and the ledger that gave it.
type heldPermit struct {
	ledger *budget.Ledger
	id     uint64
}

func newBudgets(p *product) *budgets {
	s := p.world.fleet.WeightStore
	return &budgets{
		product: p, limits: budget.Limits{LoadsPerSecond: s.LoadsPerSecond, AtFullSpeed: s.AtFullSpeed},
		ledgers: make(map[string]*budget.Ledger), permits: make(map[loadKey]heldPermit),
	}
}

func (b *budgets) groupOf(hall string) string {
	if b.product.world.cutHalls[hall] {
		return hall
	}
	return ""
}

// share makes the ledgers of new groups and shares the limits out among all.
func (b *budgets) share(now time.Time) {
	halls := b.product.world.fleet.Halls
	sizes := make(map[string]int)
	for _, h := range halls {
		group := b.groupOf(h.Name)
		sizes[group]++
		if b.ledgers[group] == nil {
			b.ledgers[group] = budget.NewLedger(now, b.limits, permitLife)
		}
	}
	for group, l := range b.ledgers {
		l.SetLimits(now, b.limits.Scale(sizes[group], len(halls)))
	}
}

// spend collects the bids and uses the permits that the ledgers give.
func (b *budgets) spend(now time.Time) {
	for _, pl := range b.product.pools {
		if l := b.ledgers[b.groupOf(pl.Hall)]; l != nil && l.CanGrant(now) {
			bid(now, l, pl)
		}
	}
	for _, group := range slices.Sorted(maps.Keys(b.ledgers)) {
		b.spendOf(now, b.ledgers[group])
	}
}

// bid renews a pool's bid; a value of zero takes it back.
func bid(now time.Time, l *budget.Ledger, pl *pool) {
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

func (b *budgets) spendOf(now time.Time, l *budget.Ledger) {
	for {
		permit, ok := l.Grant(now)
		if !ok {
			break
		}
		b.use(now, l, permit)
	}
	b.wake.plan(now, l.NextWake(now), &b.product.world.agenda, b.spend)
}

func (b *budgets) use(now time.Time, l *budget.Ledger, permit budget.Permit) {
	pl := b.product.byName[permit.Pool]
	if pl.placer == nil {
		l.ReturnPermit(now, permit.ID, false)
		return
	}
	effects, used := pl.placer.UsePermit(now)
	for _, effect := range effects {
		if e, ok := effect.(placement.Load); ok {
			b.permits[loadKey{b.product.world.engines[e.Endpoint], e.Adapter}] = heldPermit{ledger: l, id: permit.ID}
		}
	}
	b.product.run(now, pl, effects)
	if !used {
		l.ReturnPermit(now, permit.ID, false)
		return
	}
	bid(now, l, pl)
}

// loadEnded gives the permit of a load back.
func (b *budgets) loadEnded(now time.Time, e *engine, ref fleet.AdapterRef) {
	key := loadKey{e, ref}
	if held, ok := b.permits[key]; ok {
		delete(b.permits, key)
		held.ledger.ReturnPermit(now, held.id, true)
	}
}

// loadsLost gives the permits of all loads on a restarted endpoint back.
func (b *budgets) loadsLost(now time.Time, e *engine) {
	for key := range b.permits {
		if key.engine == e {
			b.loadEnded(now, e, key.adapter)
		}
	}
}
