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

// modelEndpoint follows the endpoints' rules: an order counts when it is taken, a wrong count is
// refused, and an order beyond the places is a violation.
type modelEndpoint struct {
	sequence int64
	resident map[deployment.Adapter]bool
	pending  map[deployment.Adapter]time.Time
	late     []lateOrder
	overfull int
}

// lateOrder was not answered and is carried out later.
type lateOrder struct {
	order loading.Order
	at    time.Time
}

const modelLoadTime = 250 * time.Millisecond

func (e *modelEndpoint) advance(now time.Time) {
	for one, at := range e.pending {
		if !at.After(now) {
			delete(e.pending, one)
			e.resident[one] = true
		}
	}
	kept := e.late[:0]
	for _, late := range e.late {
		if late.at.After(now) {
			kept = append(kept, late)
			continue
		}
		e.take(now, late.order)
	}
	e.late = kept
}

func (e *modelEndpoint) take(now time.Time, order loading.Order) loading.Reply {
	if order.ExpectedSequence != e.sequence {
		return loading.Conflict
	}
	_, loading_ := e.pending[order.Adapter]
	switch {
	case order.Kind == loading.Load && e.resident[order.Adapter]:
		return loading.Holds
	case order.Kind == loading.Load && loading_:
		return loading.Accepted
	case order.Kind == loading.Load:
		if len(e.resident)+len(e.pending) >= engine.AdapterCapacity {
			e.overfull++
		}
		e.sequence++
		e.pending[order.Adapter] = now.Add(modelLoadTime)
		return loading.Accepted
	}
	if e.resident[order.Adapter] {
		delete(e.resident, order.Adapter)
		e.sequence++
	}
	return loading.Holds
}

func (e *modelEndpoint) report() *loading.Report {
	report := &loading.Report{Sequence: e.sequence, Adapters: make(map[deployment.Adapter]int64)}
	for one := range e.resident {
		report.Adapters[one] = 1
	}
	for one := range e.pending {
		report.Pending = append(report.Pending, one)
	}
	return report
}

// TestNoOrderExceedsAnEndpointsPlaces plays seeded demand against model endpoints whose answers
// are lost, carried out late or refused, with takeovers in between.
func TestNoOrderExceedsAnEndpointsPlaces(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 7))
		endpoints := map[deployment.EndpointID]*modelEndpoint{}
		for _, id := range []deployment.EndpointID{"x", "y", "z"} {
			endpoints[id] = &modelEndpoint{resident: map[deployment.Adapter]bool{}, pending: map[deployment.Adapter]time.Time{}}
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
				planner.Report(now, "i", waiting(adapter(random.IntN(30))))
			}
			planner.ConfirmUnused(now, confirmAll)
			for {
				order, ok := planner.Next(now)
				if !ok {
					break
				}
				loads++
				planner.Done(now, deliver(random, now, endpoints[order.Endpoint.ID], order))
			}
		}
		assert.Greater(t, loads, 50, "seed %d", seed)
		for id, endpoint := range endpoints {
			assert.Zero(t, endpoint.overfull, "seed %d, endpoint %s", seed, id)
		}
	}
}

func deliver(random *rand.Rand, now time.Time, endpoint *modelEndpoint, order loading.Order) loading.Result {
	if order.Kind == loading.Inspect {
		return loading.Result{Order: order, Reply: loading.Inspected, Report: endpoint.report()}
	}
	switch chance := random.Float64(); {
	case chance < 0.1:
		// Carried out, and the answer is lost.
		endpoint.take(now, order)
		return answer(order, loading.Unanswered)
	case chance < 0.2:
		endpoint.late = append(endpoint.late, lateOrder{order: order, at: now.Add(time.Duration(2000+random.IntN(8000)) * time.Millisecond)})
		return answer(order, loading.Unanswered)
	case chance < 0.25:
		return answer(order, loading.NotDelivered)
	}
	return answer(order, endpoint.take(now, order))
}
