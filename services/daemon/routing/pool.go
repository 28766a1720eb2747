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
	// unreachable is true while the pool's hall cannot be reached; incomplete is true while changes between two summaries are
	// missing.
	unreachable   bool
	incomplete    bool
	recentChanges changeLog
}

// stale reports whether the latest summary is older than fresh.
func (k *poolState) stale(now time.Time, fresh time.Duration) bool {
	return now.Sub(k.refreshedAt) > fresh
}

// applySummary updates the state from a summary. It returns false if changes are missing and a full summary is needed. A
// summary of an earlier publisher or state is ignored, unless the latest summary is older than fresh.
func (k *poolState) applySummary(now time.Time, s fleet.PoolSummary, fresh time.Duration) bool {
	if !k.stale(now, fresh) && (s.Epoch < k.epoch || (s.Epoch == k.epoch && s.Seq < k.seq)) {
		return true
	}
	k.refreshedAt = now
	k.free, k.places, k.slots, k.waiting, k.sentSince = s.Free, s.Places, s.Slots, s.Waiting, 0
	if s.Full {
		k.adapters = make(map[string]bool, len(s.Added))
		k.incomplete = false
	}
	if !s.Full && (s.Epoch != k.epoch || s.Base > k.seq) {
		k.incomplete = true
	}
	k.epoch, k.seq = s.Epoch, s.Seq
	if s.Full {
		k.recentChanges.reset(s.Seq)
	}
	for _, name := range s.Added {
		if !k.adapters[name] {
			k.recentChanges.add(now, name, s.Seq)
		}
		k.adapters[name] = true
	}
	for _, name := range s.Removed {
		if k.adapters[name] {
			k.recentChanges.add(now, name, s.Seq)
		}
		delete(k.adapters, name)
	}
	return !k.incomplete
}

// freePlaces returns the number of further requests that could start immediately.
func (k *poolState) freePlaces() int {
	return k.free - k.sentSince - k.waiting
}

// load returns the number of waiting and running requests per place.
func (k *poolState) load() float64 {
	if k.places == 0 {
		return noPlacesLoad
	}
	return float64(k.places-k.free+k.waiting+k.sentSince) / float64(k.places)
}

// homeScore returns the highest rendezvous score of the pool's endpoints for an adapter. With
// one score per endpoint, pools become home of cold adapters in proportion to their size.
func (k *poolState) homeScore(adapter string) uint64 {
	var best uint64
	for _, e := range k.pool.Endpoints {
		best = max(best, ring.Score(adapter, e.Name))
	}
	return best
}
