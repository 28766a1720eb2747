// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/tools/timeline"
)

// request is one request of the trace and what became of it.
type request struct {
	fleet.Request
	run     *attempt
	runs    int
	outcome fleet.Outcome
	expired bool
	stall   time.Duration
	wait    time.Duration
	first   time.Duration
	// pool and ticket are what the product's policy placed it with.
	pool, ticket string
}

// done tells whether the request has come to an outcome.
func (r *request) done() bool { return r.outcome != "" }

// world is the model that a policy acts on.
type world struct {
	fleet      *FleetFile
	now        time.Time
	agenda     timeline.Timeline
	engines    map[string]*engine
	order      []*engine
	store      store
	requests   map[string]*request
	list       []*request
	policy     policy
	lost       map[string]bool
	cutHalls   map[string]bool
	violations map[string]int
	loads      int
	failed     int
	evictions  int
	tokens     int64
	decisions  []time.Duration
	openCount  int
	lastEnd    time.Time
}

// start is the trace's time zero; its calendar day has no meaning.
var start = time.Unix(0, 0).UTC()

// leavingGrace is how long after the notice new work is still allowed.
const leavingGrace = 3 * time.Second

// The promises whose violations are counted.
const (
	wrongVersion   = "wrong_adapter_or_version"
	unloadInUse    = "unload_in_use"
	onceRunTwice   = "once_run_twice"
	notRunButRan   = "not_run_but_ran"
	workOnLeaving  = "work_on_leaving_endpoint"
	answeredTwice  = "answered_twice"
	beyondCapacity = "beyond_capacity"
	withoutEnd     = "without_end"
)

func newWorld(f *FleetFile) *world {
	w := &world{
		fleet:    f,
		now:      start,
		engines:  make(map[string]*engine),
		requests: make(map[string]*request),
		lost:     make(map[string]bool),
		cutHalls: make(map[string]bool),
		store:    store{rate: f.WeightStore.LoadsPerSecond, atFull: f.WeightStore.AtFullSpeed, tokens: 1, moved: start},
		violations: map[string]int{
			wrongVersion: 0, unloadInUse: 0, onceRunTwice: 0, notRunButRan: 0,
			workOnLeaving: 0, answeredTwice: 0, beyondCapacity: 0, withoutEnd: 0,
		},
	}
	for _, entry := range f.Endpoints {
		e := &engine{
			entry: entry, resident: make(map[fleet.AdapterRef]time.Time), loading: make(map[fleet.AdapterRef]*load),
			running: make(map[*attempt]bool), using: make(map[fleet.AdapterRef]int),
		}
		w.engines[entry.Name] = e
		w.order = append(w.order, e)
	}
	return w
}

// replay feeds the lines to the policy and runs until nothing is left to happen.
func (w *world) replay(lines []Line) {
	for i := 0; i < len(lines); {
		at := start.Add(milliseconds(lines[i].AtMS))
		if next, ok := w.agenda.Next(); ok && next.Before(at) {
			w.agenda.Step(&w.now)
			continue
		}
		w.now = at
		w.line(lines[i])
		i++
	}
	for w.openCount > 0 && w.agenda.Step(&w.now) {
	}
	for _, r := range w.list {
		if !r.done() {
			w.violations[withoutEnd]++
		}
	}
	for _, e := range w.order {
		if len(e.running) > 0 {
			e.busy += w.now.Sub(e.busySince)
		}
	}
}

func (w *world) line(l Line) {
	if l.Event != "" {
		w.event(l)
		return
	}
	r := &request{Request: fleet.Request{
		ID: l.ID, Caller: l.Caller, Class: l.Class, Hall: l.Hall, Base: l.Base,
		Adapter:      fleet.AdapterRef{Name: l.Adapter, Version: l.Version},
		PromptTokens: l.PromptTokens, OutputTokens: l.OutputTokens, Once: l.Once, Arrived: w.now,
	}}
	if l.DeadlineMS > 0 {
		r.Deadline = w.now.Add(milliseconds(l.DeadlineMS))
		w.agenda.Add(r.Deadline, func(now time.Time) { w.expire(now, r) })
	}
	r.Entry = w.entryFor(r.ID, r.Hall)
	w.requests[r.ID] = r
	w.list = append(w.list, r)
	w.openCount++
	if r.Entry == "" {
		w.refuse(w.now, r)
		return
	}
	w.arrive(w.now, r)
}

func (w *world) arrive(now time.Time, r *request) {
	w.decide(func() { w.policy.arrive(now, r) })
}

// decide measures the time of a decision.
func (w *world) decide(decision func()) {
	began := time.Now()
	decision()
	w.decisions = append(w.decisions, time.Since(began))
}

// entryFor spreads requests over the hall's live instances as the platform's balancer does.
func (w *world) entryFor(id, hall string) string {
	live := w.liveIn(hall)
	if len(live) == 0 {
		return ""
	}
	f := fnv.New32a()
	_, _ = f.Write([]byte(id))
	return live[int(f.Sum32())%len(live)]
}

// liveIn lists a hall's instances that were not lost; a hall without any counts as one itself.
func (w *world) liveIn(hall string) []string {
	at := slices.IndexFunc(w.fleet.Halls, func(h HallEntry) bool { return h.Name == hall })
	instances := w.fleet.Halls[at].Instances
	if len(instances) == 0 {
		return []string{hall}
	}
	return slices.DeleteFunc(slices.Clone(instances), func(instance string) bool { return w.lost[instance] })
}

// apart tells whether a cut lies between two halls.
func (w *world) apart(one, other string) bool {
	return one != other && (w.cutHalls[one] || w.cutHalls[other])
}

func (w *world) expire(now time.Time, r *request) {
	if r.done() || r.run != nil {
		return
	}
	r.expired = true
	r.wait = now.Sub(r.Arrived)
	r.stall = w.stalled(r, now)
	w.finish(now, r, fleet.OutcomeNotRun)
	w.policy.expired(now, r)
}

// stalled gives the wait of a request that never started: all of it, unless its
// adapter was resident on an endpoint of its base that was merely full.
func (w *world) stalled(r *request, now time.Time) time.Duration {
	for _, e := range w.order {
		if since, ok := e.resident[r.Adapter]; ok {
			return min(max(0, since.Sub(r.Arrived)), now.Sub(r.Arrived))
		}
	}
	return now.Sub(r.Arrived)
}

func (w *world) refuse(now time.Time, r *request) {
	if r.done() {
		return
	}
	if r.runs > 0 && r.Once {
		w.violations[notRunButRan]++
	}
	r.wait = now.Sub(r.Arrived)
	r.stall = w.stalled(r, now)
	w.finish(now, r, fleet.OutcomeNotRun)
}

func (w *world) finish(now time.Time, r *request, o fleet.Outcome) {
	if r.done() {
		w.violations[answeredTwice]++
		return
	}
	r.outcome = o
	w.lastEnd = now
	w.openCount--
}

// load evicts at once and queues the load at the weight store.
func (w *world) load(now time.Time, e *engine, evict, adapter fleet.AdapterRef) {
	if !evict.IsZero() {
		if e.using[evict] > 0 {
			w.violations[unloadInUse]++
		}
		delete(e.resident, evict)
		w.evictions++
	}
	if len(e.resident)+len(e.loading) >= e.entry.Slots {
		w.violations[beyondCapacity]++
		return
	}
	l := &load{engine: e, adapter: adapter, left: e.entry.LoadMS / 1000}
	e.loading[adapter] = l
	w.loads++
	w.moveStore(now)
	w.store.waiting = append(w.store.waiting, l)
	w.moveStore(now)
}

// moveStore brings the weight store up to the present and plans its next change.
func (w *world) moveStore(now time.Time) {
	ended := w.store.advance(now)
	w.store.version++
	version := w.store.version
	if at, ok := w.store.next(now); ok {
		w.agenda.Add(at, func(now time.Time) {
			if w.store.version == version {
				w.moveStore(now)
			}
		})
	}
	for _, l := range ended {
		w.loadEnded(now, l)
	}
}

func (w *world) loadEnded(now time.Time, l *load) {
	e := l.engine
	if l.dead {
		return
	}
	delete(e.loading, l.adapter)
	ok := e.failNext == 0
	if ok {
		e.resident[l.adapter] = now
	} else {
		e.failNext--
		w.failed++
	}
	w.decide(func() { w.policy.loaded(now, e, l.adapter, ok) })
}
