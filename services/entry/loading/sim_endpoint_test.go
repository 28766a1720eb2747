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
	simAdapterLoadTime = 250 * time.Millisecond
	simModelLoadTime   = time.Second
)

// protocolVariant is one interpretation of what the platform's documentation leaves unspecified.
type protocolVariant struct {
	// countsNoopUnloads: an unload of an adapter that the endpoint does not hold raises the sequence.
	countsNoopUnloads bool
	// noopBeforeSequenceCheck: an order whose result already exists is answered before its sequence is checked.
	noopBeforeSequenceCheck bool
	// countsModelAtEnd: a base model load raises the sequence when it ends, not when it is accepted.
	countsModelAtEnd bool
}

// simEndpoint simulates an endpoint according to the platform's documentation.
type simEndpoint struct {
	id       deployment.EndpointID
	variant  protocolVariant
	engine   deployment.Engine
	sequence int64
	models   []string
	// loadingModel is the base model that is being loaded; modelReadyAt is when the load ends.
	loadingModel string
	modelReadyAt time.Time
	resident     map[deployment.Adapter]bool
	pending      map[deployment.Adapter]time.Time
	// unloading holds resident adapters whose unload waits for the requests that use them.
	unloading map[deployment.Adapter]bool
	uses      map[deployment.Adapter]int
	// snapshots holds the reports at earlier times, newest last.
	snapshots  []reportSnapshot
	violations []string
}

type reportSnapshot struct {
	at     time.Time
	report *loading.Report
}

func newSimEndpoint(now time.Time, id deployment.EndpointID, variant protocolVariant, engine deployment.Engine, models ...string) *simEndpoint {
	e := &simEndpoint{id: id, variant: variant, engine: engine, models: models, resident: make(map[deployment.Adapter]bool),
		pending: make(map[deployment.Adapter]time.Time), unloading: make(map[deployment.Adapter]bool), uses: make(map[deployment.Adapter]int)}
	e.takeSnapshot(now)
	return e
}

// takeSnapshot stores the current snapshot for later reports.
func (e *simEndpoint) takeSnapshot(now time.Time) {
	report := &loading.Report{Sequence: e.sequence, Models: slices.Clone(e.models), Busy: e.loadingModel != "", Adapters: make(map[deployment.Adapter]int64)}
	for adapter := range e.resident {
		report.Adapters[adapter] = 1
	}
	for adapter := range e.pending {
		report.Pending = append(report.Pending, adapter)
	}
	e.snapshots = append(e.snapshots, reportSnapshot{at: now, report: report})
}

// reportAsOf returns the report at the given time, or the first report if the time is before it.
func (e *simEndpoint) reportAsOf(at time.Time) *loading.Report {
	found := e.snapshots[0].report
	for _, snapshot := range e.snapshots {
		if !snapshot.at.After(at) {
			found = snapshot.report
		}
	}
	copied := *found
	copied.Adapters = maps.Clone(found.Adapters)
	return &copied
}

// advance ends the loads and unloads that are due.
func (e *simEndpoint) advance(now time.Time) {
	changed := false
	for adapter, at := range e.pending {
		if !at.After(now) {
			delete(e.pending, adapter)
			e.resident[adapter] = true
			changed = true
		}
	}
	for adapter := range e.unloading {
		if e.uses[adapter] == 0 {
			delete(e.unloading, adapter)
			delete(e.resident, adapter)
			changed = true
		}
	}
	if e.loadingModel != "" && !e.modelReadyAt.After(now) {
		e.models = append(e.models, e.loadingModel)
		e.loadingModel = ""
		if e.variant.countsModelAtEnd {
			e.sequence++
		}
		changed = true
	}
	if changed {
		e.takeSnapshot(now)
	}
}

// execute carries out an order; former reports whether a former planner sent it.
func (e *simEndpoint) execute(now time.Time, order loading.Order, former bool) loading.Reply {
	e.advance(now)
	defer e.takeSnapshot(now)
	if order.Endpoint.ID != e.id {
		return loading.Rejected
	}
	if e.variant.noopBeforeSequenceCheck && e.isNoop(order) {
		return e.replyToNoop(order)
	}
	if order.ExpectedSequence != e.sequence {
		return loading.Conflict
	}
	switch {
	case e.isNoop(order):
		return e.replyToNoop(order)
	case order.Adapter.IsZero():
		return e.executeModelLoad(now, order.Adapter.Model)
	case e.loadingModel != "" || (len(e.unloading) > 0 && !e.unloading[order.Adapter]):
		return loading.Conflict
	case order.Kind == loading.Load:
		return e.executeLoad(now, order.Adapter)
	}
	return e.executeUnload(order.Adapter, former)
}

// isNoop reports whether the result of an order already exists.
func (e *simEndpoint) isNoop(order loading.Order) bool {
	switch {
	case order.Adapter.IsZero():
		return slices.Contains(e.models, order.Adapter.Model)
	case order.Kind == loading.Load:
		return e.resident[order.Adapter] && !e.unloading[order.Adapter]
	}
	_, pending := e.pending[order.Adapter]
	return !e.resident[order.Adapter] && !pending
}

func (e *simEndpoint) replyToNoop(order loading.Order) loading.Reply {
	if order.Kind == loading.Unload && e.variant.countsNoopUnloads {
		e.sequence++
	}
	return loading.Holds
}

func (e *simEndpoint) executeModelLoad(now time.Time, model string) loading.Reply {
	if e.loadingModel == model {
		return loading.Accepted
	}
	if e.loadingModel != "" {
		return loading.Conflict
	}
	weights := e.modelWeight(model)
	for _, loaded := range e.models {
		weights += e.modelWeight(loaded)
	}
	if weights > e.engine.WeightsMB {
		e.addViolation("LIMIT: base models exceed the memory")
	}
	if !e.variant.countsModelAtEnd {
		e.sequence++
	}
	e.loadingModel, e.modelReadyAt = model, now.Add(simModelLoadTime)
	return loading.Accepted
}

func (e *simEndpoint) modelWeight(model string) float64 {
	for _, known := range e.engine.Models {
		if known.Name == model {
			return known.WeightsMB
		}
	}
	return 0
}

func (e *simEndpoint) executeLoad(now time.Time, adapter deployment.Adapter) loading.Reply {
	if !slices.Contains(e.models, adapter.Model) {
		return loading.Rejected
	}
	if _, pending := e.pending[adapter]; pending {
		return loading.Accepted
	}
	if len(e.resident)+len(e.pending) >= e.engine.AdapterCapacity {
		e.addViolation("LIMIT: adapters exceed the places")
	}
	e.sequence++
	e.pending[adapter] = now.Add(simAdapterLoadTime)
	return loading.Accepted
}

func (e *simEndpoint) executeUnload(adapter deployment.Adapter, former bool) loading.Reply {
	if _, pending := e.pending[adapter]; pending {
		e.addViolation("unload of a loading adapter")
		return loading.Conflict
	}
	if e.unloading[adapter] {
		return loading.Accepted
	}
	e.sequence++
	if e.uses[adapter] == 0 {
		delete(e.resident, adapter)
		return loading.Holds
	}
	if !former {
		e.addViolation("unload of an adapter in use")
	}
	e.unloading[adapter] = true
	return loading.Accepted
}

func (e *simEndpoint) addViolation(kind string) {
	e.violations = append(e.violations, kind)
}
