// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/budget"
	"github.com/shelfledge/shelfledge/services/placement"
)

// groupOf names the group of halls that a hall's pools share the weight store with.
func (p *product) groupOf(hall string) string {
	if p.cut[hall] {
		return hall
	}
	return ""
}

func (p *product) renewLedgers(now time.Time) {
	groups := map[string]int{}
	for _, h := range p.world.fleet.Halls {
		groups[p.groupOf(h.Name)]++
	}
	for group := range groups {
		if p.ledgers[group] == nil {
			p.ledgers[group] = budget.NewLedger(now, p.limits, permitLife)
		}
	}
	p.setLimits(now)
}

func (p *product) setLimits(now time.Time) {
	groups := map[string]int{}
	for _, h := range p.world.fleet.Halls {
		groups[p.groupOf(h.Name)]++
	}
	for group, l := range p.ledgers {
		l.SetLimits(now, p.limits.Part(groups[group], len(p.world.fleet.Halls)))
	}
}

// permitsFor collects the bids and spends the permits that the ledgers give.
func (p *product) permitsFor(now time.Time) {
	for _, pool := range p.pools {
		group := p.groupOf(pool.Hall)
		l := p.ledgers[group]
		if l == nil || !l.Open(now) {
			continue
		}
		p.bid(now, pool, l)
	}
	for _, group := range p.groups() {
		p.spend(now, group)
	}
}

func (p *product) bid(now time.Time, pool fleet.Pool, l *budget.Ledger) {
	placer := p.placers[pool.Name]
	if placer == nil {
		l.Bid(now, pool.Name, 0, false)
		return
	}
	b, ok := placer.Bid(now)
	if !ok {
		b.Value = 0
	}
	l.Bid(now, pool.Name, b.Value, b.Preload)
}

func (p *product) groups() []string {
	names := make([]string, 0, len(p.ledgers))
	for name := range p.ledgers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (p *product) spend(now time.Time, group string) {
	l := p.ledgers[group]
	for {
		permit, ok := l.Next(now)
		if !ok {
			break
		}
		p.use(now, group, permit)
	}
	next := l.NextWake(now)
	if next.IsZero() || p.ledgerAt.After(now) && !next.Before(p.ledgerAt) {
		return
	}
	p.ledgerAt = next
	p.actions.At(next, func(at time.Time) {
		if p.ledgerAt.Equal(at) {
			p.permitsFor(at)
		}
	})
}

func (p *product) use(now time.Time, group string, permit budget.Permit) {
	placer := p.placers[permit.Pool]
	if placer == nil {
		p.ledgers[group].Done(now, permit.ID, false)
		return
	}
	effects, used := placer.UsePermit(now)
	for _, effect := range effects {
		if e, ok := effect.(placement.Load); ok {
			p.permits[loadKey{e.Endpoint, e.Adapter}] = heldPermit{group: group, id: permit.ID}
		}
	}
	p.run(now, permit.Pool, effects)
	if !used {
		p.ledgers[group].Done(now, permit.ID, false)
		return
	}
	pool := p.placers[permit.Pool]
	if b, ok := pool.Bid(now); ok {
		p.ledgers[group].Bid(now, permit.Pool, b.Value, b.Preload)
	}
}
