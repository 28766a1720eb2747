// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// endpointAtStart returns the description of an endpoint in the incarnation with the given number.
func endpointAtStart(number int, adapters ...deployment.Adapter) deployment.Endpoint {
	endpoint := described("x", adapters...)
	endpoint.Born = start.Add(time.Duration(number) * time.Second)
	return endpoint
}

// inspectionResult returns the result of inspecting an endpoint in the incarnation with the given number.
func inspectionResult(order loading.Order, number int, sequence int64, adapters map[deployment.Adapter]int64) loading.Result {
	report := &loading.Report{Born: endpointAtStart(number).Born, Sequence: sequence, Models: []string{"base"}, Adapters: adapters}
	return loading.Result{Order: order, Reply: loading.Inspected, Report: report}
}

// plannerWithLoadedCopy returns a planner whose first order loaded an adapter on the endpoint's first incarnation.
func plannerWithLoadedCopy(t *testing.T) *loading.Planner {
	t.Helper()
	p := newPlanner(1)
	p.SetEndpoint(start, endpointAtStart(1), nextRevision(), false)
	p.Report(start, "i", waitingDemand(adapter(1)))
	order, ok := p.Next(start)
	require.True(t, ok)
	require.Equal(t, loading.Load, order.Kind)
	p.Done(start, resultOf(order, loading.Holds))
	_, offered := p.Offered("x")
	require.Len(t, offered, 1)
	return p
}

// TestRestartedEndpointHasNoCopiesAndNewSequence: after a restart, the endpoint's copies stayed on offer and its
// sequence continued. Requests were sent for adapters that it did not hold, and the first order was refused.
func TestRestartedEndpointHasNoCopiesAndNewSequence(t *testing.T) {
	p := plannerWithLoadedCopy(t)
	p.SetEndpoint(start, endpointAtStart(2), nextRevision(), false)
	_, offered := p.Offered("x")
	assert.Empty(t, offered)

	p.Report(start, "i", waitingDemand(adapter(2)))
	order, ok := p.Next(start)
	require.True(t, ok)
	assert.Equal(t, loading.Inspect, order.Kind, "the sequence is read first")
	p.Done(start, inspectionResult(order, 2, 0, nil))
	order, ok = p.Next(start)
	require.True(t, ok)
	assert.Equal(t, loading.Load, order.Kind)
	assert.Zero(t, order.ExpectedSequence)
	assert.Equal(t, endpointAtStart(2).Born, order.Endpoint.Born)
}

// TestReportRevealsRestartBeforeDescription: the endpoint's report arrives before its entry in the store, whose old
// content may still be read once.
func TestReportRevealsRestartBeforeDescription(t *testing.T) {
	p := plannerWithLoadedCopy(t)
	p.RequestInspection("x")
	order, ok := p.Next(start)
	require.True(t, ok)
	require.Equal(t, loading.Inspect, order.Kind)
	p.Done(start, inspectionResult(order, 2, 0, nil))
	_, offered := p.Offered("x")
	assert.Empty(t, offered)
	p.SetEndpoint(start, endpointAtStart(1, adapter(1)), nextRevision(), false)
	_, offered = p.Offered("x")
	assert.Empty(t, offered, "description of the previous incarnation")
	p.SetEndpoint(start, endpointAtStart(2, adapter(3)), nextRevision(), false)
	_, offered = p.Offered("x")
	assert.Empty(t, offered, "unconfirmed until a report lists it")
}

// TestReplyFromBeforeRestartDoesNotRaiseSequence: the reply to an order sent before the restart arrives after the
// restart was detected. When it was applied to the new incarnation, it raised the sequence named by later orders,
// which were then refused.
func TestReplyFromBeforeRestartDoesNotRaiseSequence(t *testing.T) {
	for _, reply := range []loading.Reply{loading.Unanswered, loading.Accepted, loading.Holds, loading.NotDelivered} {
		p := newPlanner(1)
		p.SetEndpoint(start, endpointAtStart(1), nextRevision(), false)
		p.Report(start, "i", waitingDemand(adapter(1)))
		former, ok := p.Next(start)
		require.True(t, ok)
		p.SetEndpoint(start, endpointAtStart(2), nextRevision(), false)
		_, ok = p.Next(start)
		require.False(t, ok, "one order at a time per endpoint")
		p.Done(start, resultOf(former, reply))

		var demands []loading.Demand
		for i := 2; i < 12; i++ {
			demands = append(demands, waitingDemand(adapter(i))...)
		}
		p.Report(start, "i", demands)
		assert.Equal(t, engine.AdapterCapacity, countLoads(t, p), "%s", reply)
	}
}

// countLoads returns the number of loads ordered from an endpoint of the second incarnation; each load has ended when
// it is polled.
func countLoads(t *testing.T, p *loading.Planner) int {
	t.Helper()
	held := make(map[deployment.Adapter]int64)
	loads := 0
	for step := range 200 {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		order, ok := p.Next(now)
		if !ok {
			continue
		}
		switch {
		case order.Kind == loading.Inspect:
			p.Done(now, inspectionResult(order, 2, int64(loads), held))
		case order.Poll:
			p.Done(now, resultOf(order, loading.Holds))
		case order.Kind == loading.Load:
			require.Equal(t, int64(loads), order.ExpectedSequence)
			loads++
			held[order.Adapter] = 1
			p.Done(now, resultOf(order, loading.Accepted))
		default:
			t.Fatalf("unexpected order: %v", order)
		}
	}
	return loads
}
