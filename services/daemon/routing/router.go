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
	pools   []*view
	byName  map[string]*view
}

// view is what is known of one pool.
type view struct {
	pool    fleet.Pool
	epoch   uint64
	seq     uint64
	present map[string]bool
	heard   time.Time
	free    int
	places  int
	slots   int
	waiting int
	sent    int
	cut     bool
	gap     bool
	recent  recentLog
}

// NewRouter makes the router of an entry in the given hall over the fleet's pools.
func NewRouter(hall string, pools []fleet.Pool, o Options) *Router {
	r := &Router{hall: hall, options: o, byName: make(map[string]*view, len(pools))}
	for _, p := range pools {
		v := &view{pool: p, present: make(map[string]bool)}
		for _, e := range p.Endpoints {
			v.places += e.MaxBatch
			v.slots += e.Slots
		}
		v.free = v.places
		r.pools = append(r.pools, v)
		r.byName[p.Name] = v
	}
	sort.Slice(r.pools, func(i, j int) bool { return r.pools[i].pool.Name < r.pools[j].pool.Name })
	return r
}

// Learn takes a summary; it reports false where a part is missing and the whole is needed.
func (r *Router) Learn(now time.Time, s fleet.PoolSummary) bool {
	v := r.byName[s.Pool]
	if v == nil {
		return true
	}
	stale := now.Sub(v.heard) > r.options.Fresh
	if !stale && (s.Epoch < v.epoch || (s.Epoch == v.epoch && s.Seq < v.seq)) {
		return true
	}
	v.heard = now
	v.free, v.places, v.slots, v.waiting, v.sent = s.Free, s.Places, s.Slots, s.Waiting, 0
	if s.Full {
		v.present = make(map[string]bool, len(s.Added))
		v.gap = false
	}
	if !s.Full && (s.Epoch != v.epoch || s.Base > v.seq) {
		v.gap = true
	}
	v.epoch, v.seq = s.Epoch, s.Seq
	if s.Full {
		v.recent.reset(s.Seq)
	}
	for _, name := range s.Added {
		if !v.present[name] {
			v.recent.add(now, name, s.Seq)
		}
		v.present[name] = true
	}
	for _, name := range s.Removed {
		if v.present[name] {
			v.recent.add(now, name, s.Seq)
		}
		delete(v.present, name)
	}
	return !v.gap
}

// SetCut marks a hall that cannot be reached, or can again.
func (r *Router) SetCut(hall string, cut bool) {
	for _, v := range r.pools {
		if v.pool.Hall == hall {
			v.cut = cut
		}
	}
}

// Choose picks the pool for a request; halls, if any, limits it to those halls.
func (r *Router) Choose(now time.Time, q fleet.Request, halls []string) (string, bool) {
	usable := r.usable(now, q, halls)
	if len(usable) == 0 {
		return "", false
	}
	v := r.pick(q, usable)
	v.sent++
	return v.pool.Name, true
}

// usable lists the pools that run the base and can be reached.
func (r *Router) usable(now time.Time, q fleet.Request, halls []string) []*view {
	var out []*view
	for _, v := range r.pools {
		if !v.pool.Serves(q.Base) || (len(halls) > 0 && !slices.Contains(halls, v.pool.Hall)) {
			continue
		}
		if v.pool.Hall == r.hall {
			out = append(out, v)
			continue
		}
		stale := now.Sub(v.heard) > r.options.Fresh
		if v.cut || stale || v.places == 0 {
			continue
		}
		out = append(out, v)
	}
	return out
}

// pick prefers where the adapter is, the own hall among equals, and else the adapter's home.
func (r *Router) pick(q fleet.Request, usable []*view) *view {
	if q.Adapter.IsZero() {
		return r.nearest(usable)
	}
	name := q.Adapter.String()
	var holding []*view
	for _, v := range usable {
		if v.present[name] {
			holding = append(holding, v)
		}
	}
	if len(holding) > 0 {
		return r.nearest(holding)
	}
	return r.home(q.Adapter.Name, usable)
}

// nearest takes the own hall while it has room, and else the pool with the lightest load.
func (r *Router) nearest(list []*view) *view {
	best := list[0]
	for _, v := range list {
		if v.pool.Hall == r.hall && v.room() > 0 {
			return v
		}
		if v.load() < best.load() || (v.load() == best.load() && v.pool.Hall == r.hall) {
			best = v
		}
	}
	return best
}

func (v *view) room() int {
	return v.free - v.sent - v.waiting
}

// load gives the waiting and running work for each place.
func (v *view) load() float64 {
	if v.places == 0 {
		return fullLoad
	}
	return float64(v.places-v.free+v.waiting+v.sent) / float64(v.places)
}

// home gives a cold adapter one pool over all halls, so that two halls do not both
// load it; a pool far above the mean load is passed over.
func (r *Router) home(adapter string, usable []*view) *view {
	mean := 0.0
	for _, v := range usable {
		mean += v.load()
	}
	mean /= float64(len(usable))
	limit := r.options.BoundedLoad*mean + boundSlack
	var best, light *view
	var bestScore uint64
	for _, v := range usable {
		if light == nil || v.load() < light.load() {
			light = v
		}
		if v.load() > limit {
			continue
		}
		s := v.weighted(adapter)
		if best == nil || s > bestScore {
			best, bestScore = v, s
		}
	}
	if best == nil {
		return light
	}
	return best
}

// weighted gives the pool's best score with one draw for each endpoint, so that
// pools take cold adapters in proportion to their size.
func (v *view) weighted(adapter string) uint64 {
	var best uint64
	for _, e := range v.pool.Endpoints {
		best = max(best, ring.Score(adapter, e.Name))
	}
	return best
}

// Heard renews the age of every summary that is not cut off, where the carrier
// vouches that nothing has changed since.
func (r *Router) Heard(now time.Time) {
	for _, v := range r.pools {
		if !v.cut {
			v.heard = now
		}
	}
}

// Changing tells whether adapters came to a pool or left it in the last seconds.
func (r *Router) Changing(now time.Time, pool string) bool {
	v := r.byName[pool]
	if v == nil {
		return false
	}
	v.recent.forget(now)
	return len(v.recent.changes) > 0
}

// Export passes on what this router knows of a pool, whole or only with the
// latest part, under the numbers of its source.
func (r *Router) Export(now time.Time, pool string, whole bool) (fleet.PoolSummary, bool) {
	v := r.byName[pool]
	if v == nil || v.epoch == 0 || v.gap {
		return fleet.PoolSummary{}, false
	}
	out := fleet.PoolSummary{
		Pool: pool, Epoch: v.epoch, Seq: v.seq, Free: v.free, Places: v.places, Slots: v.slots, Waiting: v.waiting,
	}
	if whole {
		out.Full = true
		for name := range v.present {
			out.Added = append(out.Added, name)
		}
		slices.Sort(out.Added)
		return out, true
	}
	v.recent.fill(now, v.present, &out)
	return out, true
}
