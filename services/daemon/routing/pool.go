// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// noPlacesLoad is the load of a pool without places. It exceeds the load of every pool with places.
const noPlacesLoad = 1e9

// poolState is the state of a pool, from its summaries and the requests sent to it since the last one.
type poolState struct {
	pool fleet.Pool
	// epoch and seq identify the publisher and the state of the latest summary; adapters holds the adapters of the pool.
	epoch    uint64
	seq      uint64
	adapters map[string]bool
	// refreshedAt is when the latest summary was received or confirmed as unchanged.
	refreshedAt time.Time
	// free, places, slots and waiting are the values of the latest summary; sentSince counts the requests sent to the pool since.
	free      int
	places    int
	slots     int
	waiting   int
	sentSince int
	// cutOff is true while the pool's hall cannot be reached; incomplete is true while changes between two summaries are
	// missing.
	cutOff        bool
	incomplete    bool
	recentChanges changeLog
}

// stale reports whether the latest summary is older than maxAge.
func (ps *poolState) stale(now time.Time, maxAge time.Duration) bool {
	return now.Sub(ps.refreshedAt) > maxAge
}

// applySummary updates the state from a summary. It returns false if changes are missing and a full summary is needed. A
// summary of an earlier publisher or state is ignored, unless the latest summary is older than maxAge.
func (ps *poolState) applySummary(now time.Time, s fleet.PoolSummary, maxAge time.Duration) bool {
	if !ps.stale(now, maxAge) && (s.Epoch < ps.epoch || (s.Epoch == ps.epoch && s.Seq < ps.seq)) {
		return true
	}
	ps.refreshedAt = now
	ps.free, ps.places, ps.slots, ps.waiting, ps.sentSince = s.Free, s.Places, s.Slots, s.Waiting, 0
	if s.Full {
		ps.adapters = make(map[string]bool, len(s.Added))
		ps.incomplete = false
	}
	if !s.Full && (s.Epoch != ps.epoch || s.Base > ps.seq) {
		ps.incomplete = true
	}
	ps.epoch, ps.seq = s.Epoch, s.Seq
	if s.Full {
		ps.recentChanges.reset(s.Seq)
	}
	for _, name := range s.Added {
		if !ps.adapters[name] {
			ps.recentChanges.add(now, name, s.Seq)
		}
		ps.adapters[name] = true
	}
	for _, name := range s.Removed {
		if ps.adapters[name] {
			ps.recentChanges.add(now, name, s.Seq)
		}
		delete(ps.adapters, name)
	}
	return !ps.incomplete
}

// freePlaces returns the number of further requests that could start immediately.
func (ps *poolState) freePlaces() int {
	return ps.free - ps.sentSince - ps.waiting
}

// load returns the number of waiting and running requests per place.
func (ps *poolState) load() float64 {
	if ps.places == 0 {
		return noPlacesLoad
	}
	return float64(ps.places-ps.free+ps.waiting+ps.sentSince) / float64(ps.places)
}

// homeScore returns the highest rendezvous score of the pool's endpoints for an adapter. With
// one score per endpoint, pools become home of cold adapters in proportion to their size.
func (ps *poolState) homeScore(adapter string) uint64 {
	var best uint64
	for _, e := range ps.pool.Endpoints {
		best = max(best, ring.Score(adapter, e.Name))
	}
	return best
}
