// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Router holds the state of all pools and chooses among them. It is not safe for concurrent use.
type Router struct {
	hall    string
	options Options
	pools   []*poolState
	byName  map[string]*poolState
}

// NewRouter returns the router of an entry in the given hall for the fleet's pools.
func NewRouter(hall string, pools []fleet.Pool, o Options) *Router {
	r := &Router{hall: hall, options: o, byName: make(map[string]*poolState, len(pools))}
	for _, p := range pools {
		ps := &poolState{pool: p, adapters: make(map[string]bool)}
		for _, e := range p.Endpoints {
			ps.places += e.MaxBatch
			ps.slots += e.Slots
		}
		ps.free = ps.places
		r.pools = append(r.pools, ps)
		r.byName[p.Name] = ps
	}
	sort.Slice(r.pools, func(i, j int) bool { return r.pools[i].pool.Name < r.pools[j].pool.Name })
	return r
}

// ApplySummary updates the state of a pool from a summary. It returns false if changes are missing and a full summary is needed.
func (r *Router) ApplySummary(now time.Time, s fleet.PoolSummary) bool {
	ps := r.byName[s.Pool]
	if ps == nil {
		return true
	}
	return ps.applySummary(now, s, r.options.MaxSummaryAge)
}

// SetCutOff marks a hall as cut off or as reachable again.
func (r *Router) SetCutOff(hall string, cutOff bool) {
	for _, ps := range r.pools {
		if ps.pool.Hall == hall {
			ps.cutOff = cutOff
		}
	}
}

// Choose returns the pool for a request, or false if no pool is usable. If halls is not empty, only pools of those halls are used.
func (r *Router) Choose(now time.Time, req fleet.Request, halls []string) (string, bool) {
	usable := r.usable(now, req, halls)
	if len(usable) == 0 {
		return "", false
	}
	ps := poolChooser{hall: r.hall, adapter: req.Adapter, boundedLoad: r.options.BoundedLoad}.choosePool(usable)
	ps.sentSince++
	return ps.pool.Name, true
}

// usable returns the pools that serve the request's base model and can be reached.
func (r *Router) usable(now time.Time, req fleet.Request, halls []string) []*poolState {
	var out []*poolState
	for _, ps := range r.pools {
		if !ps.pool.Serves(req.Base) || (len(halls) > 0 && !slices.Contains(halls, ps.pool.Hall)) {
			continue
		}
		if ps.pool.Hall == r.hall {
			out = append(out, ps)
			continue
		}
		if ps.cutOff || ps.stale(now, r.options.MaxSummaryAge) || ps.places == 0 {
			continue
		}
		out = append(out, ps)
	}
	return out
}

// ConfirmSummaries resets the age of every summary from a reachable hall, when its transport has
// confirmed that nothing has changed.
func (r *Router) ConfirmSummaries(now time.Time) {
	for _, ps := range r.pools {
		if !ps.cutOff {
			ps.refreshedAt = now
		}
	}
}

// HasRecentChanges reports whether adapters were added to a pool or removed from it within changeRetention.
func (r *Router) HasRecentChanges(now time.Time, pool string) bool {
	ps := r.byName[pool]
	if ps == nil {
		return false
	}
	ps.recentChanges.prune(now)
	return len(ps.recentChanges.changes) > 0
}

// Export returns the state of a pool as a full or partial summary, with the epoch and sequence
// number of its publisher, for forwarding. It returns false if the state is not complete.
func (r *Router) Export(now time.Time, pool string, full bool) (fleet.PoolSummary, bool) {
	ps := r.byName[pool]
	if ps == nil || ps.epoch == 0 || ps.incomplete {
		return fleet.PoolSummary{}, false
	}
	out := fleet.PoolSummary{
		Pool: pool, Epoch: ps.epoch, Seq: ps.seq, Free: ps.free, Places: ps.places, Slots: ps.slots, Waiting: ps.waiting,
	}
	if full {
		out.Full = true
		for name := range ps.adapters {
			out.Added = append(out.Added, name)
		}
		slices.Sort(out.Added)
		return out, true
	}
	ps.recentChanges.addTo(now, ps.adapters, &out)
	return out, true
}
