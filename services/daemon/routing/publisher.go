// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// Publisher creates full and partial summaries from the successive states of a pool.
type Publisher struct {
	epoch         uint64
	seq           uint64
	adapters      map[string]bool
	recentChanges changeLog
	latest        fleet.PoolSummary
}

// NewPublisher returns a publisher. Its epoch must be higher than that of every earlier publisher of the pool.
func NewPublisher(epoch uint64) *Publisher {
	return &Publisher{epoch: epoch, adapters: make(map[string]bool)}
}

// Update records the current state of the pool.
func (p *Publisher) Update(now time.Time, s placement.Summary) {
	held := make(map[string]bool, len(s.Resident)+len(s.Loading))
	for _, c := range s.Resident {
		held[c.Adapter.String()] = true
	}
	for _, ref := range s.Loading {
		held[ref.String()] = true
	}
	p.seq++
	for name := range held {
		if !p.adapters[name] {
			p.recentChanges.add(now, name, p.seq)
		}
	}
	for name := range p.adapters {
		if !held[name] {
			p.recentChanges.add(now, name, p.seq)
		}
	}
	p.adapters = held
	p.latest = fleet.PoolSummary{
		Pool: s.Pool, Epoch: p.epoch, Seq: p.seq, Free: s.Free, Places: s.Places, Slots: s.Slots, Waiting: s.Waiting,
	}
	p.recentChanges.prune(now)
}

// Partial returns a partial summary: the current state with the adapters changed within changeRetention.
func (p *Publisher) Partial(now time.Time) fleet.PoolSummary {
	out := p.latest
	p.recentChanges.addTo(now, p.adapters, &out)
	return out
}

// Full returns a full summary, for receivers that have no earlier summary or missed changes.
func (p *Publisher) Full() fleet.PoolSummary {
	out := p.latest
	out.Full = true
	out.Added = make([]string, 0, len(p.adapters))
	for name := range p.adapters {
		out.Added = append(out.Added, name)
	}
	slices.Sort(out.Added)
	return out
}
