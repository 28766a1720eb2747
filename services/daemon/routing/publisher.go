// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// Publisher turns a pool's successive states into full and partial summaries.
type Publisher struct {
	epoch   uint64
	seq     uint64
	present map[string]bool
	recent  recentLog
	last    fleet.PoolSummary
}

// NewPublisher makes a publisher; epoch must be higher than that of every earlier publisher of the pool.
func NewPublisher(epoch uint64) *Publisher {
	return &Publisher{epoch: epoch, present: make(map[string]bool)}
}

// Update takes the pool's present state.
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
		if !p.present[name] {
			p.recent.add(now, name, p.seq)
		}
	}
	for name := range p.present {
		if !held[name] {
			p.recent.add(now, name, p.seq)
		}
	}
	p.present = held
	p.last = fleet.PoolSummary{
		Pool: s.Pool, Epoch: p.epoch, Seq: p.seq, Free: s.Free, Places: s.Places, Slots: s.Slots, Waiting: s.Waiting,
	}
	p.recent.forget(now)
}

// Recent gives the state with the changes of the last seconds.
func (p *Publisher) Recent(now time.Time) fleet.PoolSummary {
	out := p.last
	p.recent.fill(now, p.present, &out)
	return out
}

// Full gives the whole present state, for receivers that know nothing or too little.
func (p *Publisher) Full() fleet.PoolSummary {
	out := p.last
	out.Full = true
	out.Added = make([]string, 0, len(p.present))
	for name := range p.present {
		out.Added = append(out.Added, name)
	}
	slices.Sort(out.Added)
	return out
}
