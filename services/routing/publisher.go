// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/placement"
)

// recentSpan is how far back a partial summary reaches, so that a few lost ones do no harm.
const recentSpan = 3 * time.Second

// Publisher turns a pool's successive states into full and partial summaries.
type Publisher struct {
	epoch   uint64
	seq     uint64
	present map[string]bool
	changes []summaryChange
	// floor is the number of the last change that the list of changes no longer holds.
	floor uint64
	last  fleet.PoolSummary
}

// summaryChange tells when an adapter came to a pool or left it.
type summaryChange struct {
	name string
	seq  uint64
	at   time.Time
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
			p.changes = append(p.changes, summaryChange{name: name, seq: p.seq, at: now})
		}
	}
	for name := range p.present {
		if !held[name] {
			p.changes = append(p.changes, summaryChange{name: name, seq: p.seq, at: now})
		}
	}
	p.present = held
	p.last = fleet.PoolSummary{
		Pool: s.Pool, Epoch: p.epoch, Seq: p.seq, Free: s.Free, Places: s.Places, Slots: s.Slots, Waiting: s.Waiting,
	}
	p.forget(now)
}

func (p *Publisher) forget(now time.Time) {
	old := 0
	for old < len(p.changes) && now.Sub(p.changes[old].at) > recentSpan {
		p.floor = p.changes[old].seq
		old++
	}
	p.changes = p.changes[old:]
}

// Recent gives the state with the changes of the last seconds.
func (p *Publisher) Recent(now time.Time) fleet.PoolSummary {
	p.forget(now)
	out := p.last
	out.Base = p.floor
	seen := make(map[string]bool, len(p.changes))
	for _, c := range p.changes {
		if seen[c.name] {
			continue
		}
		seen[c.name] = true
		if p.present[c.name] {
			out.Added = append(out.Added, c.name)
			continue
		}
		out.Removed = append(out.Removed, c.name)
	}
	slices.Sort(out.Added)
	slices.Sort(out.Removed)
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
