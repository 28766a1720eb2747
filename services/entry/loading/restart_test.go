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

// startOf describes an endpoint as of one of its starts.
func startOf(number int, adapters ...deployment.Adapter) deployment.Endpoint {
	endpoint := described("x", adapters...)
	endpoint.Born = start.Add(time.Duration(number) * time.Second)
	return endpoint
}

// reported answers an order to inspect an endpoint as of one of its starts.
func reported(order loading.Order, number int, sequence int64, adapters map[deployment.Adapter]int64) loading.Result {
	report := &loading.Report{Born: startOf(number).Born, Sequence: sequence, Models: []string{"base"}, Adapters: adapters}
	return loading.Result{Order: order, Reply: loading.Inspected, Report: report}
}

// loadedOnce brings an adapter to an endpoint of the first start, as its first order.
func loadedOnce(t *testing.T) *loading.Planner {
	t.Helper()
	p := newPlanner(1)
	p.SetEndpoint(start, startOf(1), nextRevision(), false)
	p.Report(start, "i", waiting(adapter(1)))
	order, ok := p.Next(start)
	require.True(t, ok)
	require.Equal(t, loading.Load, order.Kind)
	p.Done(start, answer(order, loading.Holds))
	_, offered := p.Offered("x")
	require.Len(t, offered, 1)
	return p
}

// TestAnEndpointThatStartsAgainHoldsNothingAndCountsAnew: its copies were offered and its count of orders went on, so that requests were
// sent for what it did not hold, and the first order was refused.
func TestAnEndpointThatStartsAgainHoldsNothingAndCountsAnew(t *testing.T) {
	p := loadedOnce(t)
	p.SetEndpoint(start, startOf(2), nextRevision(), false)
	_, offered := p.Offered("x")
	assert.Empty(t, offered)

	p.Report(start, "i", waiting(adapter(2)))
	order, ok := p.Next(start)
	require.True(t, ok)
	assert.Equal(t, loading.Inspect, order.Kind, "what it has taken is read first")
	p.Done(start, reported(order, 2, 0, nil))
	order, ok = p.Next(start)
	require.True(t, ok)
	assert.Equal(t, loading.Load, order.Kind)
	assert.Zero(t, order.ExpectedSequence)
	assert.Equal(t, startOf(2).Born, order.Endpoint.Born)
}

// TestAnEndpointsOwnReportTellsItsStartFirst: its report comes before its entry in the store, whose old content may still be read once.
func TestAnEndpointsOwnReportTellsItsStartFirst(t *testing.T) {
	p := loadedOnce(t)
	p.NoteMissing("x")
	order, ok := p.Next(start)
	require.True(t, ok)
	require.Equal(t, loading.Inspect, order.Kind)
	p.Done(start, reported(order, 2, 0, nil))
	_, offered := p.Offered("x")
	assert.Empty(t, offered)
	p.SetEndpoint(start, startOf(1, adapter(1)), nextRevision(), false)
	_, offered = p.Offered("x")
	assert.Empty(t, offered, "a description of the former start")
	p.SetEndpoint(start, startOf(2, adapter(3)), nextRevision(), false)
	_, offered = p.Offered("x")
	assert.Empty(t, offered, "in doubt until the report tells")
}

// TestAnAnswerToTheFormerStartIsNoNewsOfTheNext: it comes after the endpoint is known to have started again. Taken for the next one's, it
// raised the count that its orders name, and they were refused.
func TestAnAnswerToTheFormerStartIsNoNewsOfTheNext(t *testing.T) {
	for _, reply := range []loading.Reply{loading.Unanswered, loading.Accepted, loading.Holds, loading.NotDelivered} {
		p := newPlanner(1)
		p.SetEndpoint(start, startOf(1), nextRevision(), false)
		p.Report(start, "i", waiting(adapter(1)))
		former, ok := p.Next(start)
		require.True(t, ok)
		p.SetEndpoint(start, startOf(2), nextRevision(), false)
		_, ok = p.Next(start)
		require.False(t, ok, "one order at a time")
		p.Done(start, answer(former, reply))

		var demands []loading.Demand
		for i := 2; i < 12; i++ {
			demands = append(demands, waiting(adapter(i))...)
		}
		p.Report(start, "i", demands)
		assert.Equal(t, engine.AdapterCapacity, loadsGiven(t, p), "%s", reply)
	}
}

// loadsGiven counts the loads that an endpoint of the second start gets, each done when it is asked about.
func loadsGiven(t *testing.T, p *loading.Planner) int {
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
			p.Done(now, reported(order, 2, int64(loads), held))
		case order.Poll:
			p.Done(now, answer(order, loading.Holds))
		case order.Kind == loading.Load:
			require.Equal(t, int64(loads), order.ExpectedSequence)
			loads++
			held[order.Adapter] = 1
			p.Done(now, answer(order, loading.Accepted))
		default:
			t.Fatalf("unexpected order: %v", order)
		}
	}
	return loads
}
