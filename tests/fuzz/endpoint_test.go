// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// fakeEndpoint acts out an engine with slots, fences, restarts and failing loads.
type fakeEndpoint struct {
	world       *world
	spec        fleet.Endpoint
	incarnation int
	fence       uint64
	holder      string
	resident    map[string]bool
	lastRun     map[string]time.Time
	running     map[string]*fakeRun
	failLoads   int
	shownAt     time.Time
}

// fakeRun is one request running on an endpoint.
type fakeRun struct {
	request *fakeRequest
	adapter string
	ends    time.Time
}

func (e *fakeEndpoint) name() string {
	return fmt.Sprintf("%s#%d", e.spec.Name, e.incarnation)
}

func (e *fakeEndpoint) restart() {
	e.incarnation++
	e.fence, e.holder = 0, ""
	e.world.log("%s restarts", e.spec.Name)
	e.resident = make(map[string]bool)
	runs := e.running
	e.running = make(map[string]*fakeRun)
	for _, r := range sortedRuns(runs) {
		e.world.broken(r.request)
	}
}

func sortedRuns(runs map[string]*fakeRun) []*fakeRun {
	out := make([]*fakeRun, 0, len(runs))
	for _, r := range runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].request.id < out[j].request.id })
	return out
}

// obeys checks fence and incarnation as an engine that checks fences does.
func (e *fakeEndpoint) obeys(incarnation string, fence uint64, holder string, order bool) bool {
	if !e.spec.ChecksFence {
		return true
	}
	if incarnation != e.name() || fence < e.fence {
		return false
	}
	return !order || fence > e.fence || holder == e.holder
}

func (e *fakeEndpoint) status(began time.Time) placement.Inspection {
	in := placement.Inspection{Endpoint: e.spec.Name, Incarnation: e.name(), StartedAt: began, Up: true}
	for name := range e.resident {
		ref, _ := fleet.ParseAdapterRef(name)
		in.Resident = append(in.Resident, ref)
	}
	seen := make(map[string]bool)
	for _, r := range e.running {
		if ref, err := fleet.ParseAdapterRef(r.adapter); err == nil && !seen[r.adapter] {
			seen[r.adapter] = true
			in.Running = append(in.Running, ref)
		}
	}
	sort.Slice(in.Resident, func(i, j int) bool { return in.Resident[i].String() < in.Resident[j].String() })
	sort.Slice(in.Running, func(i, j int) bool { return in.Running[i].String() < in.Running[j].String() })
	return in
}

func (e *fakeEndpoint) unload(adapter string) bool {
	if !e.resident[adapter] {
		return false
	}
	running := false
	for _, r := range e.running {
		running = running || r.adapter == adapter
	}
	e.world.log("%s unloads %s", e.spec.Name, adapter)
	e.world.oracle.unloaded(e.spec.Name, adapter, running, e.world.now.Sub(e.lastRun[adapter]))
	delete(e.resident, adapter)
	return true
}

func (e *fakeEndpoint) load(adapter string) bool {
	if e.failLoads > 0 {
		e.failLoads--
		return false
	}
	if e.resident[adapter] || len(e.resident) >= e.spec.Slots {
		return false
	}
	e.resident[adapter] = true
	return true
}

// start runs a request if fence, incarnation and residence allow it.
func (e *fakeEndpoint) start(q *fakeRequest, t fleet.Ticket) bool {
	adapter := t.Adapter.String()
	if !e.obeys(t.Incarnation, t.Fence, "", false) || !e.resident[adapter] {
		return false
	}
	e.world.log("%s runs %s of %s on %s, ticket %s", e.spec.Name, q.id, q.entry.id, adapter, t.ID)
	e.world.oracle.ran(q.id, adapter, q.onceID)
	if !e.shownAt.IsZero() {
		e.world.oracle.stake(promiseLeaving)
		e.world.oracle.onLeaving(q.id, e.spec.Name, e.world.now.Sub(e.shownAt))
	}
	r := &fakeRun{request: q, adapter: adapter, ends: e.world.now.Add(q.length)}
	e.running[q.id] = r
	e.lastRun[adapter] = r.ends
	incarnation := e.incarnation
	e.world.at(r.ends, func() {
		if e.incarnation == incarnation && e.running[q.id] == r {
			delete(e.running, q.id)
			e.world.log("%s has run %s", e.spec.Name, q.id)
			e.world.completed(q)
		}
	})
	return true
}
