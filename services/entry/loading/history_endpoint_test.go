// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	historyAdapterLoad = 250 * time.Millisecond
	historyModelLoad   = time.Second
)

// endpointRules are what the platform's documentation leaves open.
type endpointRules struct {
	// countsIdle: an unload of what is not there moves the sequence.
	countsIdle bool
	// idleFirst: what is so already is answered before the sequence is compared.
	idleFirst bool
	// countsEnds: a base model's load moves the sequence when it ends, not when it is taken.
	countsEnds bool
}

// historyEndpoint is an endpoint as the platform's documentation has it.
type historyEndpoint struct {
	id       deployment.EndpointID
	rules    endpointRules
	engine   deployment.Engine
	sequence int64
	models   []string
	// coming is the base model that is being loaded, until comes.
	coming   string
	comes    time.Time
	resident map[deployment.Adapter]bool
	pending  map[deployment.Adapter]time.Time
	// leaving are resident adapters whose unload waits for their runs.
	leaving map[deployment.Adapter]bool
	uses    map[deployment.Adapter]int
	// states are the reports as of their times, the newest last.
	states []endpointState
	faults []string
}

type endpointState struct {
	at     time.Time
	report *loading.Report
}

func newHistoryEndpoint(now time.Time, id deployment.EndpointID, rules endpointRules, engine deployment.Engine, models ...string) *historyEndpoint {
	e := &historyEndpoint{id: id, rules: rules, engine: engine, models: models, resident: make(map[deployment.Adapter]bool),
		pending: make(map[deployment.Adapter]time.Time), leaving: make(map[deployment.Adapter]bool), uses: make(map[deployment.Adapter]int)}
	e.note(now)
	return e
}

// note keeps the state as of now for later reports.
func (e *historyEndpoint) note(now time.Time) {
	report := &loading.Report{Sequence: e.sequence, Models: slices.Clone(e.models), Busy: e.coming != "", Adapters: make(map[deployment.Adapter]int64)}
	for one := range e.resident {
		report.Adapters[one] = 1
	}
	for one := range e.pending {
		report.Pending = append(report.Pending, one)
	}
	e.states = append(e.states, endpointState{at: now, report: report})
}

// reportAsOf gives the report as of a time, and the first one if that is before.
func (e *historyEndpoint) reportAsOf(at time.Time) *loading.Report {
	found := e.states[0].report
	for _, state := range e.states {
		if !state.at.After(at) {
			found = state.report
		}
	}
	copied := *found
	copied.Adapters = maps.Clone(found.Adapters)
	return &copied
}

// advance ends loads and unloads that are due.
func (e *historyEndpoint) advance(now time.Time) {
	changed := false
	for one, at := range e.pending {
		if !at.After(now) {
			delete(e.pending, one)
			e.resident[one] = true
			changed = true
		}
	}
	for one := range e.leaving {
		if e.uses[one] == 0 {
			delete(e.leaving, one)
			delete(e.resident, one)
			changed = true
		}
	}
	if e.coming != "" && !e.comes.After(now) {
		e.models = append(e.models, e.coming)
		e.coming = ""
		if e.rules.countsEnds {
			e.sequence++
		}
		changed = true
	}
	if changed {
		e.note(now)
	}
}

// take carries an order out; former says that its sender plans no more.
func (e *historyEndpoint) take(now time.Time, order loading.Order, former bool) loading.Reply {
	e.advance(now)
	defer e.note(now)
	if order.Endpoint.ID != e.id {
		return loading.Rejected
	}
	if e.rules.idleFirst && e.idle(order) {
		return e.idleReply(order)
	}
	if order.ExpectedSequence != e.sequence {
		return loading.Conflict
	}
	switch {
	case e.idle(order):
		return e.idleReply(order)
	case order.Adapter.IsZero():
		return e.takeModel(now, order.Adapter.Model)
	case e.coming != "" || (len(e.leaving) > 0 && !e.leaving[order.Adapter]):
		return loading.Conflict
	case order.Kind == loading.Load:
		return e.takeLoad(now, order.Adapter)
	}
	return e.takeUnload(order.Adapter, former)
}

// idle reports whether an order asks for what is so already.
func (e *historyEndpoint) idle(order loading.Order) bool {
	switch {
	case order.Adapter.IsZero():
		return slices.Contains(e.models, order.Adapter.Model)
	case order.Kind == loading.Load:
		return e.resident[order.Adapter] && !e.leaving[order.Adapter]
	}
	_, pending := e.pending[order.Adapter]
	return !e.resident[order.Adapter] && !pending
}

func (e *historyEndpoint) idleReply(order loading.Order) loading.Reply {
	if order.Kind == loading.Unload && e.rules.countsIdle {
		e.sequence++
	}
	return loading.Holds
}

func (e *historyEndpoint) takeModel(now time.Time, model string) loading.Reply {
	if e.coming == model {
		return loading.Accepted
	}
	if e.coming != "" {
		return loading.Conflict
	}
	weights := e.weight(model)
	for _, one := range e.models {
		weights += e.weight(one)
	}
	if weights > e.engine.WeightsMB {
		e.fault("LIMIT: base models beyond the memory")
	}
	if !e.rules.countsEnds {
		e.sequence++
	}
	e.coming, e.comes = model, now.Add(historyModelLoad)
	return loading.Accepted
}

func (e *historyEndpoint) weight(model string) float64 {
	for _, one := range e.engine.Models {
		if one.Name == model {
			return one.WeightsMB
		}
	}
	return 0
}

func (e *historyEndpoint) takeLoad(now time.Time, one deployment.Adapter) loading.Reply {
	if !slices.Contains(e.models, one.Model) {
		return loading.Rejected
	}
	if _, pending := e.pending[one]; pending {
		return loading.Accepted
	}
	if len(e.resident)+len(e.pending) >= e.engine.AdapterCapacity {
		e.fault("LIMIT: adapters beyond the places")
	}
	e.sequence++
	e.pending[one] = now.Add(historyAdapterLoad)
	return loading.Accepted
}

func (e *historyEndpoint) takeUnload(one deployment.Adapter, former bool) loading.Reply {
	if _, pending := e.pending[one]; pending {
		e.fault("unload of what is loading")
		return loading.Conflict
	}
	if e.leaving[one] {
		return loading.Accepted
	}
	e.sequence++
	if e.uses[one] == 0 {
		delete(e.resident, one)
		return loading.Holds
	}
	if !former {
		e.fault("unload of what is in use")
	}
	e.leaving[one] = true
	return loading.Accepted
}

func (e *historyEndpoint) fault(what string) {
	e.faults = append(e.faults, what)
}
