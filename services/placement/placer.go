// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
)

// Placer decides for the endpoints of one pool; it is not safe for concurrent use.
type Placer struct {
	pool      string
	self      string
	epoch     string
	options   Options
	classes   map[string]fleet.Class
	endpoints []*endpointState
	byName    map[string]*endpointState
	copies    map[fleet.AdapterRef][]*endpointState
	queue     *fairQueue
	popular   *popularity
	tickets   map[string]*heldTicket
	byRequest map[string]*heldTicket
	failures  map[fleet.AdapterRef]*failure
	pinned    map[fleet.AdapterRef]bool
	loadShare map[string]*arrivalStat
	prefixes  prefixHints
	sequence  uint64
	loads     int
	lastSweep time.Time
	effects   []Effect
	preload   []fleet.AdapterRef
	bases     map[fleet.AdapterRef]string
	lastBusy  time.Time
	absent    Bid
	absentAt  time.Time
	scratch   []demand
	bid       madeBid
}

// heldTicket is a granted ticket that has not come back.
type heldTicket struct {
	ticket   fleet.Ticket
	request  fleet.Request
	granted  time.Time
	orphaned time.Time
}

// failure counts the failed loads of one adapter.
type failure struct {
	count int
	until time.Time
}

// NewPlacer makes the placer of a pool, run by the instance self.
func NewPlacer(pool, self string, endpoints []fleet.Endpoint, o Options) *Placer {
	p := &Placer{
		pool:      pool,
		self:      self,
		options:   o,
		classes:   indexClasses(o.Classes),
		byName:    make(map[string]*endpointState, len(endpoints)),
		copies:    make(map[fleet.AdapterRef][]*endpointState),
		queue:     newFairQueue(o.PlainQueue),
		popular:   newPopularity(o),
		tickets:   make(map[string]*heldTicket),
		byRequest: make(map[string]*heldTicket),
		failures:  make(map[fleet.AdapterRef]*failure),
		pinned:    make(map[fleet.AdapterRef]bool),
		loadShare: make(map[string]*arrivalStat),
		prefixes:  newPrefixHints(),
		bases:     make(map[fleet.AdapterRef]string),
	}
	for _, spec := range endpoints {
		e := newEndpointState(spec)
		p.endpoints = append(p.endpoints, e)
		p.byName[spec.Name] = e
	}
	slices.SortFunc(p.endpoints, func(a, b *endpointState) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	return p
}

// SetClasses replaces the service classes, for a changed configuration.
func (p *Placer) SetClasses(list []fleet.Class) {
	p.classes = indexClasses(list)
}

// SetPinned replaces the adapters that are never evicted.
func (p *Placer) SetPinned(refs []fleet.AdapterRef) {
	clear(p.pinned)
	for _, ref := range refs {
		p.pinned[ref] = true
	}
}

// SetPreload replaces the adapters that operators asked to have loaded.
func (p *Placer) SetPreload(refs []fleet.AdapterRef, base func(fleet.AdapterRef) string) {
	p.preload = refs
	for _, ref := range refs {
		p.bases[ref] = base(ref)
	}
}

// Submit admits a request: it is granted, queued or refused at once.
func (p *Placer) Submit(now time.Time, r fleet.Request) []Effect {
	class := classOf(p.classes, r.Class)
	if r.Priority == 0 {
		r.Priority = class.Priority
	}
	if held, ok := p.byRequest[r.ID]; ok && held.ticket.Entry == r.Entry && held.request.Attempt == r.Attempt {
		// The grant is on its way once more, so that its age counts from now.
		held.granted = now
		return []Effect{Grant{Request: r, Ticket: held.ticket}}
	}
	if _, ok := p.queue.byID[r.ID]; ok {
		return nil
	}
	if !r.Adapter.IsZero() && r.Attempt == 0 {
		p.popular.add(now, r.Adapter, class.StallWeight)
		p.bases[r.Adapter] = r.Base
	}
	if !class.Patient {
		p.lastBusy = now
	}
	if refusal, bad := p.admission(now, r, class); bad {
		p.refuse(now, r, refusal)
		return p.take()
	}
	if !p.mustWait(r, class) {
		if e := p.choose(now, r, class); e != nil {
			p.grant(now, e, r, now, 0)
			return p.take()
		}
	}
	p.queue.push(now, r, class, p.options.GatherLimit)
	p.note(now, fleet.Event{Kind: fleet.EventQueued, Request: r.ID, Adapter: r.Adapter.String(), Cause: p.waitCause(r)})
	p.dispatchAdapter(now, r.Adapter)
	return p.take()
}

// mustWait tells whether others of the same adapter queue before this request.
func (p *Placer) mustWait(r fleet.Request, class fleet.Class) bool {
	if class.Patient {
		return true
	}
	a, ok := p.queue.adapters[r.Adapter]
	if !ok {
		return false
	}
	return a.count > a.patient
}

// admission bounds the queue by class and tenant, and refuses what cannot be met.
func (p *Placer) admission(now time.Time, r fleet.Request, class fleet.Class) (fleet.Refusal, bool) {
	if r.Expired(now) {
		return fleet.Refusal{Reason: fleet.ReasonExpired}, true
	}
	if !p.anyServes(r) {
		return fleet.Refusal{Reason: fleet.ReasonNoEndpoint, RetryAfter: 2 * time.Second}, true
	}
	waiting := p.queue.tokens[class.Name]
	if waiting+r.Tokens() > class.MaxQueuedTokens && waiting > 0 {
		return fleet.Refusal{Reason: fleet.ReasonQueueFull, RetryAfter: p.retryAfter(waiting)}, true
	}
	own := p.queue.tenant[tenantKey{class: class.Name, tenant: r.Caller}]
	if own > 0 && float64(own+r.Tokens()) > p.options.TenantShare*float64(class.MaxQueuedTokens) {
		return fleet.Refusal{Reason: fleet.ReasonTenantLimit, RetryAfter: p.retryAfter(own)}, true
	}
	if f, ok := p.failures[r.Adapter]; ok && f.count >= p.options.GiveUpFailures && now.Before(f.until) && len(p.copies[r.Adapter]) == 0 {
		return fleet.Refusal{Reason: fleet.ReasonLoadFailing, RetryAfter: f.until.Sub(now)}, true
	}
	if !r.Deadline.IsZero() && now.Add(p.earliest(r)).After(r.Deadline) {
		return fleet.Refusal{Reason: fleet.ReasonDeadline, RetryAfter: p.earliest(r)}, true
	}
	return fleet.Refusal{}, false
}

func (p *Placer) anyServes(r fleet.Request) bool {
	for _, e := range p.endpoints {
		if e.spec.Serves(r.Base) && e.takesWork() {
			return true
		}
	}
	return false
}

// earliest is a lower estimate of the time until the request could start.
func (p *Placer) earliest(r fleet.Request) time.Duration {
	if r.Adapter.IsZero() || len(p.copies[r.Adapter]) > 0 {
		return 0
	}
	for _, e := range p.endpoints {
		if e.spec.Serves(r.Base) && e.takesWork() {
			return e.loadTime()
		}
	}
	return 0
}

// retryAfter estimates when the given queue of tokens will have been worked off.
func (p *Placer) retryAfter(tokens int) time.Duration {
	perSecond := 0.0
	for _, e := range p.endpoints {
		if e.takesWork() && e.spec.Step > 0 {
			perSecond += float64(e.spec.MaxBatch) / e.spec.Step.Seconds()
		}
	}
	if perSecond == 0 {
		return 2 * time.Second
	}
	wait := time.Duration(float64(tokens) / perSecond * float64(time.Second))
	return max(time.Second, wait)
}

// Cancel withdraws a waiting request whose caller has gone.
func (p *Placer) Cancel(now time.Time, requestID string) []Effect {
	w, ok := p.queue.byID[requestID]
	if !ok {
		return nil
	}
	p.queue.remove(w)
	p.bid.fresh = false
	if _, still := p.queue.adapters[w.request.Adapter]; !still {
		p.note(now, fleet.Event{Kind: fleet.EventLoadGivenUp, Adapter: w.request.Adapter.String(), Cause: "nobody waits any more"})
	}
	return p.take()
}

// Return takes a ticket back after its request has ended on the endpoint.
func (p *Placer) Return(now time.Time, ticketID string) []Effect {
	held, ok := p.tickets[ticketID]
	if !ok {
		return nil
	}
	e := p.release(now, held)
	if e != nil {
		p.dispatchEndpoint(now, e)
	}
	return p.take()
}

func (p *Placer) release(now time.Time, held *heldTicket) *endpointState {
	p.bid.fresh = false
	delete(p.tickets, held.ticket.ID)
	if p.byRequest[held.request.ID] == held {
		delete(p.byRequest, held.request.ID)
	}
	e := p.byName[held.ticket.Endpoint]
	if e == nil || e.incarnation != held.ticket.Incarnation {
		return e
	}
	e.leave(held.ticket, held.request.Caller)
	if s, ok := e.slots[held.ticket.Adapter]; ok {
		s.lastUsed = now
	}
	return e
}

// Tick refuses what has expired, forgets old estimates and starts held-back work.
func (p *Placer) Tick(now time.Time) []Effect {
	for _, w := range p.queue.expired(now) {
		p.refuse(now, w.request, fleet.Refusal{Reason: fleet.ReasonExpired})
	}
	if now.Sub(p.lastSweep) >= time.Second {
		p.lastSweep = now
		p.sweep(now)
	}
	return p.take()
}

const forgetEvery = 256

// sweep does the work of once a second.
func (p *Placer) sweep(now time.Time) {
	p.sequence++
	if p.sequence%forgetEvery == 0 {
		p.popular.forget(now)
	}
	for _, e := range p.endpoints {
		p.reopen(e)
		p.dispatchEndpoint(now, e)
	}
	for _, held := range p.tickets {
		if !held.orphaned.IsZero() && now.Sub(held.orphaned) > p.options.TicketLife {
			p.release(now, held)
		}
	}
}

// NextWake gives the next time at which Tick has something to do, or the zero time.
func (p *Placer) NextWake() time.Time {
	next := p.queue.nextDeadline()
	if len(p.queue.byID) > 0 {
		sweep := p.lastSweep.Add(time.Second)
		if next.IsZero() || sweep.Before(next) {
			next = sweep
		}
	}
	return next
}

// RefuseAll refuses everything that waits, for a planned stop or a lost pool.
func (p *Placer) RefuseAll(now time.Time, reason fleet.Reason, retryAfter time.Duration) []Effect {
	waiting := make([]*waiter, 0, len(p.queue.byID))
	for _, w := range p.queue.byID {
		waiting = append(waiting, w)
	}
	slices.SortFunc(waiting, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, w := range waiting {
		p.queue.remove(w)
		p.refuse(now, w.request, fleet.Refusal{Reason: reason, RetryAfter: retryAfter})
	}
	return p.take()
}

func (p *Placer) refuse(now time.Time, r fleet.Request, refusal fleet.Refusal) {
	refusal.RequestID = r.ID
	p.effects = append(p.effects, Refuse{Request: r, Refusal: refusal})
	p.note(now, fleet.Event{Kind: fleet.EventRefused, Request: r.ID, Adapter: r.Adapter.String(), Cause: string(refusal.Reason)})
}

func (p *Placer) note(now time.Time, e fleet.Event) {
	e.At = now
	e.Instance = p.self
	e.Pool = p.pool
	p.effects = append(p.effects, Note{Event: e})
}

// take hands over the effects gathered since the last call.
func (p *Placer) take() []Effect {
	out := p.effects
	p.effects = nil
	p.bid.fresh = p.bid.fresh && len(out) == 0
	return out
}

// SetEpoch makes the ticket names of this placer differ from those of every other
// life of the instance and every other term.
func (p *Placer) SetEpoch(boot, term uint64) {
	p.epoch = strconv.FormatUint(boot, 36) + "." + strconv.FormatUint(term, 36)
}

func (p *Placer) nextTicketID() string {
	p.sequence++
	return p.self + "/" + p.pool + "/" + p.epoch + "/" + strconv.FormatUint(p.sequence, 10)
}

// jitter spreads the retries of different adapters, from 0.5 to 1.5, without a random source.
func jitter(ref fleet.AdapterRef, count int) float64 {
	h := fnv.New32a()
	h.Write([]byte(ref.Name))
	h.Write([]byte{byte(count)})
	return 0.5 + float64(h.Sum32()%1000)/1000
}
