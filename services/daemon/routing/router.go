// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// Options are the settings of the choice between pools.
type Options struct {
	// Fresh is the age up to which another hall's summary counts.
	Fresh time.Duration
	// BoundedLoad is how far above the mean a pool may be loaded before cold adapters go elsewhere.
	BoundedLoad float64
}

const (
	// defaultFresh trades requests sent on old news for requests kept from a hall that is slow to tell; twenty digests fit
	// into it at their default pace. Not measured.
	defaultFresh = 5 * time.Second
	// defaultBoundedLoad trades an even load for adapters that stay in one hall; not measured.
	defaultBoundedLoad = 1.25
	// boundSlack is added to the bound, in requests for each place, so that an idle fleet's first requests do not exceed the
	// bound of a mean near zero. Not measured.
	boundSlack = 0.1
	// fullLoad is the load of a pool without places: above that of every pool with some.
	// Not measured: any number above every real load will do.
	fullLoad = 1e9
)

// DefaultOptions gives the settings for where no settings file is read; in the daemon the setting bounded_load, with an
// equal default, replaces BoundedLoad.
func DefaultOptions() Options {
	return Options{Fresh: defaultFresh, BoundedLoad: defaultBoundedLoad}
}

// Router holds the summaries of all pools; it is not safe for concurrent use.
type Router struct {
	hall    string
	options Options
	pools   []*knownPool
	byName  map[string]*knownPool
}

// knownPool is what is known of one pool, from summaries and from what was sent there since.
type knownPool struct {
	pool fleet.Pool
	// epoch and seq are the numbers of the latest summary's publisher and state; present names its adapters.
	epoch   uint64
	seq     uint64
	present map[string]bool
	// heard is when the latest summary came, or was vouched for.
	heard time.Time
	// free, places, slots and waiting are as the summary counts them, sent is what was sent there since.
	free    int
	places  int
	slots   int
	waiting int
	sent    int
	// cut is true while the pool's hall cannot be reached, gap while a change between two summaries is missing.
	cut    bool
	gap    bool
	recent recentLog
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
	stale := now.Sub(k.heard) > r.options.Fresh
	if !stale && (s.Epoch < k.epoch || (s.Epoch == k.epoch && s.Seq < k.seq)) {
		return true
	}
	k.heard = now
	k.free, k.places, k.slots, k.waiting, k.sent = s.Free, s.Places, s.Slots, s.Waiting, 0
	if s.Full {
		k.present = make(map[string]bool, len(s.Added))
		k.gap = false
	}
	if !s.Full && (s.Epoch != k.epoch || s.Base > k.seq) {
		k.gap = true
	}
	k.epoch, k.seq = s.Epoch, s.Seq
	if s.Full {
		k.recent.reset(s.Seq)
	}
	for _, name := range s.Added {
		if !k.present[name] {
			k.recent.add(now, name, s.Seq)
		}
		k.present[name] = true
	}
	for _, name := range s.Removed {
		if k.present[name] {
			k.recent.add(now, name, s.Seq)
		}
		delete(k.present, name)
	}
	return !k.gap
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
	k := r.pick(q, usable)
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
		stale := now.Sub(k.heard) > r.options.Fresh
		if k.cut || stale || k.places == 0 {
			continue
		}
		out = append(out, k)
	}
	return out
}

// pick prefers where the adapter is, the own hall among equals, and else the adapter's home.
func (r *Router) pick(q fleet.Request, usable []*knownPool) *knownPool {
	if q.Adapter.IsZero() {
		return r.nearest(usable)
	}
	name := q.Adapter.String()
	var holding []*knownPool
	for _, k := range usable {
		if k.present[name] {
			holding = append(holding, k)
		}
	}
	if len(holding) > 0 {
		return r.nearest(holding)
	}
	return r.home(q.Adapter.Name, usable)
}

// nearest takes the own hall while it has room, and else the pool with the lightest load.
func (r *Router) nearest(list []*knownPool) *knownPool {
	best := list[0]
	for _, k := range list {
		if k.pool.Hall == r.hall && k.room() > 0 {
			return k
		}
		if k.load() < best.load() || (k.load() == best.load() && k.pool.Hall == r.hall) {
			best = k
		}
	}
	return best
}

// room is how many more requests find a place at once.
func (k *knownPool) room() int {
	return k.free - k.sent - k.waiting
}

// load gives the waiting and running work for each place.
func (k *knownPool) load() float64 {
	if k.places == 0 {
		return fullLoad
	}
	return float64(k.places-k.free+k.waiting+k.sent) / float64(k.places)
}

// home gives a cold adapter one pool over all halls, so that two halls do not both
// load it; a pool far above the mean load is passed over.
func (r *Router) home(adapter string, usable []*knownPool) *knownPool {
	mean := 0.0
	for _, k := range usable {
		mean += k.load()
	}
	mean /= float64(len(usable))
	limit := r.options.BoundedLoad*mean + boundSlack
	var best, light *knownPool
	var bestScore uint64
	for _, k := range usable {
		if light == nil || k.load() < light.load() {
			light = k
		}
		if k.load() > limit {
			continue
		}
		s := k.weighted(adapter)
		if best == nil || s > bestScore {
			best, bestScore = k, s
		}
	}
	if best == nil {
		return light
	}
	return best
}

// weighted gives the pool's best score with one draw for each endpoint, so that
// pools take cold adapters in proportion to their size.
func (k *knownPool) weighted(adapter string) uint64 {
	var best uint64
	for _, e := range k.pool.Endpoints {
		best = max(best, ring.Score(adapter, e.Name))
	}
	return best
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
