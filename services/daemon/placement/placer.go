// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/sizelimit"
	"github.com/shelfledge/shelfledge/services/daemon/placement/backoff"
	"github.com/shelfledge/shelfledge/services/daemon/placement/popularity"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// Placer schedules loads and requests on the endpoints of one pool. It is not safe for
// concurrent use.
type Placer struct {
	pool            string
	instance        string
	epoch           string
	options         Options
	classes         map[string]fleet.Class
	endpoints       []*endpointState
	endpointByName  map[string]*endpointState
	copies          map[fleet.AdapterRef][]*endpointState
	queue           *queue.Queue
	arrivalRates    *popularity.Estimates
	tickets         map[string]*grantedTicket
	ticketByRequest map[string]*grantedTicket
	failures        *backoff.Failures
	pinned          map[fleet.AdapterRef]bool
	loadsByCustomer customerLoads
	prefixes        prefixHints
	sequence        uint64
	// sweepCount counts the sweeps; every sweepsPerPrune-th one prunes old state.
	sweepCount        uint64
	loadCount         int
	lastSweep         time.Time
	effects           []Effect
	requestedPreloads []fleet.AdapterRef
	// baseByAdapter holds the base model of each adapter that may be worth loading.
	baseByAdapter    map[fleet.AdapterRef]string
	baseLimit        sizelimit.Limit
	lastInteractive  time.Time
	preloadCandidate Bid
	preloadScannedAt time.Time
	demandBuffer     []demand
	bid              cachedBid
}

// NewPlacer returns the placer of a pool. instance is the name of the instance that runs it.
func NewPlacer(pool, instance string, endpoints []fleet.Endpoint, o Options) *Placer {
	p := &Placer{
		pool:            pool,
		instance:        instance,
		options:         o,
		classes:         indexClasses(o.Classes),
		endpointByName:  make(map[string]*endpointState, len(endpoints)),
		copies:          make(map[fleet.AdapterRef][]*endpointState),
		queue:           queue.New(o.DisableFairQueue),
		arrivalRates:    popularity.New(popularity.Options{FastHalfLife: o.FastHalfLife, SlowHalfLife: o.SlowHalfLife, SlowWeight: o.SlowWeight}),
		tickets:         make(map[string]*grantedTicket),
		ticketByRequest: make(map[string]*grantedTicket),
		failures:        backoff.New(backoff.Options{Base: o.BackoffBase, Max: o.BackoffMax, GiveUp: o.GiveUpFailures}),
		pinned:          make(map[fleet.AdapterRef]bool),
		loadsByCustomer: newCustomerLoads(),
		prefixes:        newPrefixHints(),
		baseByAdapter:   make(map[fleet.AdapterRef]string),
		baseLimit:       sizelimit.New(maxBases),
	}
	for _, spec := range endpoints {
		e := newEndpointState(spec)
		p.endpoints = append(p.endpoints, e)
		p.endpointByName[spec.Name] = e
	}
	slices.SortFunc(p.endpoints, func(a, b *endpointState) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	return p
}

// SetClasses replaces the service classes after a configuration change.
func (p *Placer) SetClasses(list []fleet.Class) {
	p.classes = indexClasses(list)
}

// SetPinned replaces the set of adapters that are never evicted.
func (p *Placer) SetPinned(refs []fleet.AdapterRef) {
	clear(p.pinned)
	for _, ref := range refs {
		p.pinned[ref] = true
	}
}

// SetPreload replaces the list of adapters whose preload was requested by operators.
func (p *Placer) SetPreload(refs []fleet.AdapterRef, base func(fleet.AdapterRef) string) {
	p.requestedPreloads = refs
	for _, ref := range refs {
		p.setBase(ref, base(ref))
	}
}

// Tick refuses expired requests, prunes old state and starts requests that were held back.
func (p *Placer) Tick(now time.Time) []Effect {
	for _, w := range p.queue.Expired(now) {
		p.refuse(now, w.Request, fleet.Refusal{Reason: fleet.ReasonExpired})
	}
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		p.sweep(now)
	}
	return p.takeEffects()
}

// sweepInterval is the time between two sweeps. A longer interval starts held-back patient requests later, a shorter one checks every
// endpoint more often.
const sweepInterval = time.Second

// sweepsPerPrune is the number of sweeps between two scans for idle adapters and customers; it limits the cost of these scans.
const sweepsPerPrune = 256

// sweep does the periodic work of Tick.
func (p *Placer) sweep(now time.Time) {
	p.sweepCount++
	if p.sweepCount%sweepsPerPrune == 0 {
		p.prune(now)
	}
	for _, e := range p.endpoints {
		p.reopenSlots(e)
		p.dispatchEndpoint(now, e)
	}
	p.sweepTickets(now)
}

// prune drops the state of adapters and customers without recent requests, which limits the memory.
func (p *Placer) prune(now time.Time) {
	p.arrivalRates.Prune(now)
	p.loadsByCustomer.prune(now)
	p.failures.Prune(now)
	p.queue.Prune(now)
	p.pruneBases()
}

// maxBases is the number of adapters above which the base models of those that are not worth loading are dropped before the next prune.
const maxBases = 32768

// setBase stores the base model of an adapter that may be worth loading.
func (p *Placer) setBase(ref fleet.AdapterRef, base string) {
	if p.baseLimit.Exceeded(len(p.baseByAdapter)) {
		worthLoading := p.worthLoading()
		sizelimit.Reduce(&p.baseLimit, p.baseByAdapter, func(ref fleet.AdapterRef, _ string) (float64, bool) { return 0, !worthLoading(ref) })
	}
	p.baseByAdapter[ref] = base
}

// pruneBases drops the base models of adapters that are not worth loading.
func (p *Placer) pruneBases() {
	worthLoading := p.worthLoading()
	maps.DeleteFunc(p.baseByAdapter, func(ref fleet.AdapterRef, _ string) bool { return !worthLoading(ref) })
}

// worthLoading returns a function that reports whether an adapter may be worth loading: a request waits for it, one is expected or an
// operator requested a preload.
func (p *Placer) worthLoading() func(fleet.AdapterRef) bool {
	requested := make(map[fleet.AdapterRef]bool, len(p.requestedPreloads))
	for _, ref := range p.requestedPreloads {
		requested[ref] = true
	}
	return func(ref fleet.AdapterRef) bool {
		_, waits := p.queue.Adapter(ref)
		return waits || requested[ref] || p.arrivalRates.Contains(ref)
	}
}

// NextWake returns the next time at which Tick has work to do, or the zero time.
func (p *Placer) NextWake() time.Time {
	next := p.queue.NextDeadline()
	if p.queue.Len() > 0 {
		sweep := p.lastSweep.Add(sweepInterval)
		if next.IsZero() || sweep.Before(next) {
			next = sweep
		}
	}
	return next
}

// SetEpoch sets the boot number of the instance and the term of its ownership, which
// become part of every ticket ID. They make ticket IDs unique over restarts and terms.
func (p *Placer) SetEpoch(boot, term uint64) {
	p.epoch = strconv.FormatUint(boot, 36) + "." + strconv.FormatUint(term, 36)
}

func (p *Placer) recordEvent(now time.Time, e fleet.Event) {
	e.At = now
	e.Instance = p.instance
	e.Pool = p.pool
	p.effects = append(p.effects, RecordEvent{Event: e})
}

// takeEffects returns the effects collected since the last call and clears them.
func (p *Placer) takeEffects() []Effect {
	out := p.effects
	p.effects = nil
	p.bid.valid = p.bid.valid && len(out) == 0
	return out
}
