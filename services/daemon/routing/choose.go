// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import "github.com/shelfledge/shelfledge/models/daemon/fleet"

// loadBoundSlack is added to the load limit, in requests per place, so that the first requests of an idle fleet do not exceed a limit that
// is derived from a mean load near zero.
const loadBoundSlack = 0.1

// poolChooser chooses one of several usable pools for a request.
type poolChooser struct {
	// hall is the hall of the entry.
	hall string
	// adapter is the adapter that the request names, or the zero value.
	adapter fleet.AdapterRef
	// boundedLoad is the maximum load of a cold adapter's home pool, as a multiple of the mean load.
	boundedLoad float64
}

// choosePool returns a pool that holds the adapter, with preference for the own hall, or else the adapter's home pool.
func (c poolChooser) choosePool(usable []*poolState) *poolState {
	if c.adapter.IsZero() {
		return c.localOrLeastLoaded(usable)
	}
	name := c.adapter.String()
	var holding []*poolState
	for _, ps := range usable {
		if ps.adapters[name] {
			holding = append(holding, ps)
		}
	}
	if len(holding) > 0 {
		return c.localOrLeastLoaded(holding)
	}
	return c.homePool(usable)
}

// localOrLeastLoaded returns a pool of the own hall if it has free places, or else the pool with the lowest load, with
// preference for the own hall at equal load.
func (c poolChooser) localOrLeastLoaded(list []*poolState) *poolState {
	best := list[0]
	for _, ps := range list {
		if ps.pool.Hall == c.hall && ps.freePlaces() > 0 {
			return ps
		}
		if ps.load() < best.load() || (ps.load() == best.load() && ps.pool.Hall == c.hall) {
			best = ps
		}
	}
	return best
}

// homePool returns the same pool for a cold adapter in all halls, so that two halls do not both
// load the adapter. A pool with a load far above the mean is skipped.
func (c poolChooser) homePool(usable []*poolState) *poolState {
	mean := 0.0
	for _, ps := range usable {
		mean += ps.load()
	}
	mean /= float64(len(usable))
	limit := c.boundedLoad*mean + loadBoundSlack
	var best, light *poolState
	var bestScore uint64
	for _, ps := range usable {
		if light == nil || ps.load() < light.load() {
			light = ps
		}
		if ps.load() > limit {
			continue
		}
		s := ps.homeScore(c.adapter.Name)
		if best == nil || s > bestScore {
			best, bestScore = ps, s
		}
	}
	if best == nil {
		return light
	}
	return best
}
