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

// request is one request of the trace with its progress and outcome.
type request struct {
	fleet.Request
	// run is the running attempt, or nil; runCount counts all attempts that started.
	run        *attempt
	runCount   int
	outcome    fleet.Outcome
	expired    bool
	stall      time.Duration
	wait       time.Duration
	firstToken time.Duration
	// pool and ticket identify the placement of the request under productPolicy.
	pool, ticket string
}

// finished reports whether the request has an outcome.
func (r *request) finished() bool { return r.outcome != "" }

// world is the simulated fleet on which a policy acts.
type world struct {
	fleet           *FleetFile
	now             time.Time
	agenda          timeline.Timeline
	engines         map[string]*engine
	engineList      []*engine
	store           store
	requests        map[string]*request
	requestList     []*request
	policy          policy
	lostInstances   map[string]bool
	cutHalls        map[string]bool
	violations      map[string]int
	loads           int
	failed          int
	evictions       int
	tokens          int64
	decisions       []time.Duration
	unfinishedCount int
	lastFinish      time.Time
}

// start is time zero of the trace; its calendar date has no meaning.
var start = time.Unix(0, 0).UTC()

// leavingGrace is how long after its leaving notice an endpoint may still be given new work.
const leavingGrace = 3 * time.Second

// The invariants whose violations are counted, by their keys in the result.
const (
	wrongVersion     = "wrong_adapter_or_version"
	unloadInUse      = "unload_in_use"
	onceRunAgain     = "once_run_twice"
	refusedAfterRun  = "not_run_but_ran"
	workOnLeaving    = "work_on_leaving_endpoint"
	answeredTwice    = "answered_twice"
	capacityExceeded = "beyond_capacity"
	neverFinished    = "without_end"
)

func newWorld(f *FleetFile) *world {
	w := &world{
		fleet:         f,
		now:           start,
		engines:       make(map[string]*engine),
		requests:      make(map[string]*request),
		lostInstances: make(map[string]bool),
		cutHalls:      make(map[string]bool),
		store:         store{rate: f.WeightStore.LoadsPerSecond, atFullSpeed: f.WeightStore.AtFullSpeed, tokens: 1, advancedTo: start},
		violations: map[string]int{
			wrongVersion: 0, unloadInUse: 0, onceRunAgain: 0, refusedAfterRun: 0,
			workOnLeaving: 0, answeredTwice: 0, capacityExceeded: 0, neverFinished: 0,
		},
	}
	for _, entry := range f.Endpoints {
		e := &engine{
			entry: entry, resident: make(map[fleet.AdapterRef]time.Time), loading: make(map[fleet.AdapterRef]*load),
			running: make(map[*attempt]bool), runningByAdapter: make(map[fleet.AdapterRef]int),
		}
		w.engines[entry.Name] = e
		w.engineList = append(w.engineList, e)
	}
	return w
}

// replay applies the lines of the trace and then runs scheduled events until all requests have finished or no event is left.
func (w *world) replay(lines []Line) {
	for i := 0; i < len(lines); {
		at := start.Add(milliseconds(lines[i].AtMS))
		if next, ok := w.agenda.Next(); ok && next.Before(at) {
			w.agenda.Step(&w.now)
			continue
		}
		w.now = at
		w.applyLine(lines[i])
		i++
	}
	for w.unfinishedCount > 0 && w.agenda.Step(&w.now) {
	}
	for _, r := range w.requestList {
		if !r.finished() {
			w.violations[neverFinished]++
		}
	}
	for _, e := range w.engineList {
		if len(e.running) > 0 {
			e.busy += w.now.Sub(e.busySince)
		}
	}
}

func (w *world) applyLine(l Line) {
	if l.Event != "" {
		w.applyEvent(l)
		return
	}
	r := &request{Request: fleet.Request{
		ID: l.ID, Caller: l.Caller, Class: l.Class, Hall: l.Hall, Base: l.Base,
		Adapter:      fleet.AdapterRef{Name: l.Adapter, Version: l.Version},
		PromptTokens: l.PromptTokens, OutputTokens: l.OutputTokens, Once: l.Once, Arrived: w.now,
	}}
	if l.DeadlineMS > 0 {
		r.Deadline = w.now.Add(milliseconds(l.DeadlineMS))
		w.agenda.Add(r.Deadline, func(now time.Time) { w.expireRequest(now, r) })
	}
	r.Entry = w.entryInstance(r.ID, r.Hall)
	w.requests[r.ID] = r
	w.requestList = append(w.requestList, r)
	w.unfinishedCount++
	if r.Entry == "" {
		w.refuseRequest(w.now, r)
		return
	}
	w.requestArrived(w.now, r)
}

func (w *world) requestArrived(now time.Time, r *request) {
	w.timeDecision(func() { w.policy.requestArrived(now, r) })
}

// timeDecision runs a decision and records how long it took.
func (w *world) timeDecision(decision func()) {
	started := time.Now()
	decision()
	w.decisions = append(w.decisions, time.Since(started))
}

// entryInstance returns the instance that receives a request. It spreads requests over the live instances of the hall as
// the platform's load balancer does, and returns "" if there is none.
func (w *world) entryInstance(id, hall string) string {
	live := w.liveInstances(hall)
	if len(live) == 0 {
		return ""
	}
	f := fnv.New32a()
	_, _ = f.Write([]byte(id))
	return live[int(f.Sum32())%len(live)]
}

// liveInstances returns the instances of a hall that are not lost. A hall without configured instances counts as one
// instance of the same name.
func (w *world) liveInstances(hall string) []string {
	at := slices.IndexFunc(w.fleet.Halls, func(h HallEntry) bool { return h.Name == hall })
	instances := w.fleet.Halls[at].Instances
	if len(instances) == 0 {
		return []string{hall}
	}
	return slices.DeleteFunc(slices.Clone(instances), func(instance string) bool { return w.lostInstances[instance] })
}

// isCutBetween reports whether a cut separates two halls.
func (w *world) isCutBetween(a, b string) bool {
	return a != b && (w.cutHalls[a] || w.cutHalls[b])
}

func (w *world) expireRequest(now time.Time, r *request) {
	if r.finished() || r.run != nil {
		return
	}
	r.expired = true
	r.wait = now.Sub(r.Arrived)
	r.stall = w.stallOfUnstarted(r, now)
	w.finishRequest(now, r, fleet.OutcomeNotRun)
	w.policy.expired(now, r)
}

// stallOfUnstarted returns the load stall of a request that never started: its whole wait, or only the wait until its
// adapter became resident if an endpoint of its base had the adapter and was merely full.
func (w *world) stallOfUnstarted(r *request, now time.Time) time.Duration {
	for _, e := range w.engineList {
		if since, ok := e.resident[r.Adapter]; ok {
			return min(max(0, since.Sub(r.Arrived)), now.Sub(r.Arrived))
		}
	}
	return now.Sub(r.Arrived)
}

func (w *world) refuseRequest(now time.Time, r *request) {
	if r.finished() {
		return
	}
	if r.runCount > 0 && r.Once {
		w.violations[refusedAfterRun]++
	}
	r.wait = now.Sub(r.Arrived)
	r.stall = w.stallOfUnstarted(r, now)
	w.finishRequest(now, r, fleet.OutcomeNotRun)
}

func (w *world) finishRequest(now time.Time, r *request, o fleet.Outcome) {
	if r.finished() {
		w.violations[answeredTwice]++
		return
	}
	r.outcome = o
	w.lastFinish = now
	w.unfinishedCount--
}

// load evicts an adapter at once, if one is given, and queues the load at the weight store.
func (w *world) load(now time.Time, e *engine, evict, adapter fleet.AdapterRef) {
	if !evict.IsZero() {
		if e.runningByAdapter[evict] > 0 {
			w.violations[unloadInUse]++
		}
		delete(e.resident, evict)
		w.evictions++
	}
	if len(e.resident)+len(e.loading) >= e.entry.Slots {
		w.violations[capacityExceeded]++
		return
	}
	l := &load{engine: e, adapter: adapter, remaining: e.entry.LoadMS / 1000}
	e.loading[adapter] = l
	w.loads++
	w.advanceStore(now)
	w.store.waiting = append(w.store.waiting, l)
	w.advanceStore(now)
}

// advanceStore advances the weight store to the present and schedules its next change.
func (w *world) advanceStore(now time.Time) {
	ended := w.store.advance(now)
	w.store.generation++
	generation := w.store.generation
	if at, ok := w.store.nextChange(now); ok {
		w.agenda.Add(at, func(now time.Time) {
			if w.store.generation == generation {
				w.advanceStore(now)
			}
		})
	}
	for _, l := range ended {
		w.finishLoad(now, l)
	}
}

func (w *world) finishLoad(now time.Time, l *load) {
	e := l.engine
	if l.canceled {
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
	w.timeDecision(func() { w.policy.loadEnded(now, e, l.adapter, ok) })
}
