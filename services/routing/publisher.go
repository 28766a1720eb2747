// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/placement"
)

// Publisher turns a pool's successive states into full and partial summaries.
type Publisher struct {
	epoch   uint64
	seq     uint64
	present map[string]bool
	last    fleet.PoolSummary
}

// NewPublisher makes a publisher; epoch must differ from that of every earlier publisher of the pool.
func NewPublisher(epoch uint64) *Publisher {
	return &Publisher{epoch: epoch, present: make(map[string]bool)}
}

// Update gives the summary that leads from the last one to the given state.
func (p *Publisher) Update(s placement.Summary) fleet.PoolSummary {
	now := make(map[string]bool, len(s.Resident)+len(s.Loading))
	for _, c := range s.Resident {
		now[c.Adapter.String()] = true
	}
	for _, ref := range s.Loading {
		now[ref.String()] = true
	}
	out := p.header(s)
	for name := range now {
		if !p.present[name] {
			out.Added = append(out.Added, name)
		}
	}
	for name := range p.present {
		if !now[name] {
			out.Removed = append(out.Removed, name)
		}
	}
	slices.Sort(out.Added)
	slices.Sort(out.Removed)
	p.present = now
	p.seq++
	out.Seq = p.seq
	out.Full = p.seq == 1
	p.last = out
	return out
}

// Full gives the whole present state, for receivers that missed a part.
func (p *Publisher) Full() fleet.PoolSummary {
	out := p.last
	out.Full = true
	out.Removed = nil
	out.Added = make([]string, 0, len(p.present))
	for name := range p.present {
		out.Added = append(out.Added, name)
	}
	slices.Sort(out.Added)
	return out
}

func (p *Publisher) header(s placement.Summary) fleet.PoolSummary {
	return fleet.PoolSummary{
		Pool: s.Pool, Epoch: p.epoch, Free: s.Free, Places: s.Places, Slots: s.Slots, Waiting: s.Waiting,
	}
}
