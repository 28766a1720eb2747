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

// fakeEndpoint is a fake of an engine with slots, fences, restarts and failing loads.
type fakeEndpoint struct {
	sim         *simulation
	spec        fleet.Endpoint
	incarnation int
	fence       uint64
	holder      string
	resident    map[string]bool
	// lastRun is when the last request of each adapter ends or ended.
	lastRun   map[string]time.Time
	running   map[string]*fakeRun
	failLoads int
	// leavingSince is the time from which starts on the endpoint are checked against guaranteeLeaving, zero if they are not.
	leavingSince time.Time
}

// fakeRun is one request that runs on an endpoint.
type fakeRun struct {
	request *fakeRequest
	adapter string
	endsAt  time.Time
}

func (e *fakeEndpoint) incarnationName() string {
	return fmt.Sprintf("%s#%d", e.spec.Name, e.incarnation)
}

func (e *fakeEndpoint) restart() {
	e.incarnation++
	e.fence, e.holder = 0, ""
	e.sim.logStep("%s restarts", e.spec.Name)
	e.resident = make(map[string]bool)
	runs := e.running
	e.running = make(map[string]*fakeRun)
	for _, r := range sortedRuns(runs) {
		e.sim.breakRequest(r.request)
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

// accepts reports whether the endpoint accepts a request, or an order of holder, with the given incarnation and fence. Endpoints that do not
// check fences accept all.
func (e *fakeEndpoint) accepts(incarnation string, fence uint64, holder string, order bool) bool {
	if !e.spec.ChecksFence {
		return true
	}
	if incarnation != e.incarnationName() || fence < e.fence {
		return false
	}
	return !order || fence > e.fence || holder == e.holder
}

func (e *fakeEndpoint) inspection(began time.Time) placement.Inspection {
	in := placement.Inspection{Endpoint: e.spec.Name, Incarnation: e.incarnationName(), StartedAt: began, Up: true}
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
	e.sim.logStep("%s unloads %s", e.spec.Name, adapter)
	e.sim.oracle.recordUnload(e.spec.Name, adapter, running, e.sim.now.Sub(e.lastRun[adapter]))
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

// start starts a request and reports whether it runs: the endpoint must accept the ticket's incarnation and fence, and the adapter must be
// resident.
func (e *fakeEndpoint) start(q *fakeRequest, t fleet.Ticket) bool {
	adapter := t.Adapter.String()
	if !e.accepts(t.Incarnation, t.Fence, "", false) || !e.resident[adapter] {
		return false
	}
	e.sim.logStep("%s runs %s of %s on %s, ticket %s", e.spec.Name, q.id, q.entry.id, adapter, t.ID)
	e.sim.oracle.recordStart(q.id, adapter, q.onceID)
	if !e.leavingSince.IsZero() {
		e.sim.oracle.countCheck(guaranteeLeaving)
		e.sim.oracle.checkLeaving(q.id, e.spec.Name, e.sim.now.Sub(e.leavingSince))
	}
	r := &fakeRun{request: q, adapter: adapter, endsAt: e.sim.now.Add(q.length)}
	e.running[q.id] = r
	e.lastRun[adapter] = r.endsAt
	incarnation := e.incarnation
	e.sim.schedule(r.endsAt, func() {
		if e.incarnation == incarnation && e.running[q.id] == r {
			delete(e.running, q.id)
			e.sim.logStep("%s completes %s", e.spec.Name, q.id)
			e.sim.completeRequest(q)
		}
	})
	return true
}
