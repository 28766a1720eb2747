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
		k := &poolState{pool: p, adapters: make(map[string]bool)}
		for _, e := range p.Endpoints {
			k.places += e.MaxBatch
			k.slots += e.Slots
		}
		k.free = k.places
		r.pools = append(r.pools, k)
		r.byName[p.Name] = k
	}
	sort.Slice(r.pools, func(i, j int) bool { return r.pools[i].pool.Name < r.pools[j].pool.Name })
	return r
}

// ApplySummary updates the state of a pool from a summary. It returns false if changes are missing and a full summary is needed.
func (r *Router) ApplySummary(now time.Time, s fleet.PoolSummary) bool {
	k := r.byName[s.Pool]
	if k == nil {
		return true
	}
	return k.applySummary(now, s, r.options.MaxSummaryAge)
}

// SetCut marks a hall as unreachable or as reachable again.
func (r *Router) SetCut(hall string, unreachable bool) {
	for _, k := range r.pools {
		if k.pool.Hall == hall {
			k.unreachable = unreachable
		}
	}
}

// Choose returns the pool for a request, or false if no pool is usable. If halls is not empty, only pools of those halls are used.
func (r *Router) Choose(now time.Time, q fleet.Request, halls []string) (string, bool) {
	usable := r.usable(now, q, halls)
	if len(usable) == 0 {
		return "", false
	}
	k := poolChooser{hall: r.hall, adapter: q.Adapter, boundedLoad: r.options.BoundedLoad}.choosePool(usable)
	k.sentSince++
	return k.pool.Name, true
}

// usable returns the pools that serve the request's base model and can be reached.
func (r *Router) usable(now time.Time, q fleet.Request, halls []string) []*poolState {
	var out []*poolState
	for _, k := range r.pools {
		if !k.pool.Serves(q.Base) || (len(halls) > 0 && !slices.Contains(halls, k.pool.Hall)) {
			continue
		}
		if k.pool.Hall == r.hall {
			out = append(out, k)
			continue
		}
		if k.unreachable || k.stale(now, r.options.MaxSummaryAge) || k.places == 0 {
			continue
		}
		out = append(out, k)
	}
	return out
}

// ConfirmSummaries resets the age of every summary from a reachable hall, when its transport has
// confirmed that nothing has changed.
func (r *Router) ConfirmSummaries(now time.Time) {
	for _, k := range r.pools {
		if !k.unreachable {
			k.refreshedAt = now
		}
	}
}

// HasRecentChanges reports whether adapters were added to a pool or removed from it within changeRetention.
func (r *Router) HasRecentChanges(now time.Time, pool string) bool {
	k := r.byName[pool]
	if k == nil {
		return false
	}
	k.recentChanges.prune(now)
	return len(k.recentChanges.changes) > 0
}

// Export returns the state of a pool as a full or partial summary, with the epoch and sequence
// number of its publisher, for forwarding. It returns false if the state is not complete.
func (r *Router) Export(now time.Time, pool string, whole bool) (fleet.PoolSummary, bool) {
	k := r.byName[pool]
	if k == nil || k.epoch == 0 || k.incomplete {
		return fleet.PoolSummary{}, false
	}
	out := fleet.PoolSummary{
		Pool: pool, Epoch: k.epoch, Seq: k.seq, Free: k.free, Places: k.places, Slots: k.slots, Waiting: k.waiting,
	}
	if whole {
		out.Full = true
		for name := range k.adapters {
			out.Added = append(out.Added, name)
		}
		slices.Sort(out.Added)
		return out, true
	}
	k.recentChanges.addTo(now, k.adapters, &out)
	return out, true
}
