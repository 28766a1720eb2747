// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// fakeEndpoint implements the endpoints' rules: it raises its sequence when it accepts an order and refuses an order
// with a different sequence. overflows counts the loads beyond its places.
type fakeEndpoint struct {
	sequence  int64
	resident  map[deployment.Adapter]bool
	pending   map[deployment.Adapter]time.Time
	delayed   []delayedOrder
	overflows int
}

// delayedOrder is an order that was not answered and is carried out later.
type delayedOrder struct {
	order loading.Order
	at    time.Time
}

const fakeLoadTime = 250 * time.Millisecond

func (e *fakeEndpoint) advance(now time.Time) {
	for adapter, at := range e.pending {
		if !at.After(now) {
			delete(e.pending, adapter)
			e.resident[adapter] = true
		}
	}
	kept := e.delayed[:0]
	for _, delayed := range e.delayed {
		if delayed.at.After(now) {
			kept = append(kept, delayed)
			continue
		}
		e.execute(now, delayed.order)
	}
	e.delayed = kept
}

func (e *fakeEndpoint) execute(now time.Time, order loading.Order) loading.Reply {
	if order.ExpectedSequence != e.sequence {
		return loading.Conflict
	}
	_, inProgress := e.pending[order.Adapter]
	switch {
	case order.Kind == loading.Load && e.resident[order.Adapter]:
		return loading.Holds
	case order.Kind == loading.Load && inProgress:
		return loading.Accepted
	case order.Kind == loading.Load:
		if len(e.resident)+len(e.pending) >= engine.AdapterCapacity {
			e.overflows++
		}
		e.sequence++
		e.pending[order.Adapter] = now.Add(fakeLoadTime)
		return loading.Accepted
	}
	if e.resident[order.Adapter] {
		delete(e.resident, order.Adapter)
		e.sequence++
	}
	return loading.Holds
}

func (e *fakeEndpoint) report() *loading.Report {
	report := &loading.Report{Sequence: e.sequence, Adapters: make(map[deployment.Adapter]int64)}
	for adapter := range e.resident {
		report.Adapters[adapter] = 1
	}
	for adapter := range e.pending {
		report.Pending = append(report.Pending, adapter)
	}
	return report
}

// TestPlannerNeverOverfillsEndpoints runs seeded random demand against fake endpoints whose replies are lost, delayed
// or refusals, with planner takeovers in between.
func TestPlannerNeverOverfillsEndpoints(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		endpoints := map[deployment.EndpointID]*fakeEndpoint{}
		for _, id := range []deployment.EndpointID{"x", "y", "z"} {
			endpoints[id] = &fakeEndpoint{resident: map[deployment.Adapter]bool{}, pending: map[deployment.Adapter]time.Time{}}
		}
		planner := newPlanner(seed)
		loads := 0
		for step := range 3000 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			if step%700 == 699 {
				planner = newPlanner(seed + uint64(step))
			}
			for id, endpoint := range endpoints {
				endpoint.advance(now)
				if step%100 == 0 || step%700 == 699 {
					description := described(string(id))
					description.Adapters = endpoint.report().Adapters
					planner.SetEndpoint(now, description, nextRevision(), false)
				}
			}
			if step%5 == 0 {
				planner.Report(now, "i", waitingDemand(adapter(random.IntN(30))))
			}
			planner.ConfirmUnused(now, confirmAll)
			for {
				order, ok := planner.Next(now)
				if !ok {
					break
				}
				loads++
				planner.Done(now, deliverOrder(random, now, endpoints[order.Endpoint.ID], order))
			}
		}
		assert.Greater(t, loads, 50, "seed %d", seed)
		for id, endpoint := range endpoints {
			assert.Zero(t, endpoint.overflows, "seed %d, endpoint %s", seed, id)
		}
	}
}

func deliverOrder(random *rand.Rand, now time.Time, endpoint *fakeEndpoint, order loading.Order) loading.Result {
	if order.Kind == loading.Inspect {
		return loading.Result{Order: order, Reply: loading.Inspected, Report: endpoint.report()}
	}
	switch chance := random.Float64(); {
	case chance < 0.1:
		// Carried out, but the reply is lost.
		endpoint.execute(now, order)
		return resultOf(order, loading.Unanswered)
	case chance < 0.2:
		endpoint.delayed = append(endpoint.delayed, delayedOrder{order: order, at: now.Add(time.Duration(2000+random.IntN(8000)) * time.Millisecond)})
		return resultOf(order, loading.Unanswered)
	case chance < 0.25:
		return resultOf(order, loading.NotDelivered)
	}
	return resultOf(order, endpoint.execute(now, order))
}
