// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Router holds the summaries of all pools; it is not safe for concurrent use.
type Router struct {
	hall    string
	options Options
	pools   []*knownPool
	byName  map[string]*knownPool
}

// NewRouter makes the router of an entry in the given hall over the fleet's pools.
func NewRouter(hall string, pools []fleet.Pool, o Options) *Router {
	r := &Router{hall: hall, options: o, byName: make(map[string]*knownPool, len(pools))}
	for _, p := range pools {
		k := &knownPool{pool: p, present: make(map[string]bool)}
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

// Learn takes a summary; it reports false where a part is missing and the whole is needed.
func (r *Router) Learn(now time.Time, s fleet.PoolSummary) bool {
	k := r.byName[s.Pool]
	if k == nil {
		return true
	}
	return k.learn(now, s, r.options.Fresh)
}

// SetCut marks a hall that cannot be reached, or can again.
func (r *Router) SetCut(hall string, cut bool) {
	for _, k := range r.pools {
		if k.pool.Hall == hall {
			k.cut = cut
		}
	}
}

// Choose picks the pool for a request; halls, if any, limits it to those halls.
func (r *Router) Choose(now time.Time, q fleet.Request, halls []string) (string, bool) {
	usable := r.usable(now, q, halls)
	if len(usable) == 0 {
		return "", false
	}
	k := choice{hall: r.hall, adapter: q.Adapter, boundedLoad: r.options.BoundedLoad}.pick(usable)
	k.sent++
	return k.pool.Name, true
}

// usable lists the pools that run the base and can be reached.
func (r *Router) usable(now time.Time, q fleet.Request, halls []string) []*knownPool {
	var out []*knownPool
	for _, k := range r.pools {
		if !k.pool.Serves(q.Base) || (len(halls) > 0 && !slices.Contains(halls, k.pool.Hall)) {
			continue
		}
		if k.pool.Hall == r.hall {
			out = append(out, k)
			continue
		}
		if k.cut || k.stale(now, r.options.Fresh) || k.places == 0 {
			continue
		}
		out = append(out, k)
	}
	return out
}

// Heard renews the age of every summary that is not cut off, where the carrier
// vouches that nothing has changed since.
func (r *Router) Heard(now time.Time) {
	for _, k := range r.pools {
		if !k.cut {
			k.heard = now
		}
	}
}

// Changing tells whether adapters came to a pool or left it in the last seconds.
func (r *Router) Changing(now time.Time, pool string) bool {
	k := r.byName[pool]
	if k == nil {
		return false
	}
	k.recent.forget(now)
	return len(k.recent.changes) > 0
}

// Export passes on what this router knows of a pool, whole or only with the
// latest part, under the numbers of its source.
func (r *Router) Export(now time.Time, pool string, whole bool) (fleet.PoolSummary, bool) {
	k := r.byName[pool]
	if k == nil || k.epoch == 0 || k.gap {
		return fleet.PoolSummary{}, false
	}
	out := fleet.PoolSummary{
		Pool: pool, Epoch: k.epoch, Seq: k.seq, Free: k.free, Places: k.places, Slots: k.slots, Waiting: k.waiting,
	}
	if whole {
		out.Full = true
		for name := range k.present {
			out.Added = append(out.Added, name)
		}
		slices.Sort(out.Added)
		return out, true
	}
	k.recent.fill(now, k.present, &out)
	return out, true
}
