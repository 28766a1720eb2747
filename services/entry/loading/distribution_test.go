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
	"github.com/shelfledge/shelfledge/services/entry/work"
)

// plannerWithEndpoints returns a planner with empty endpoints.
func plannerWithEndpoints(ids ...string) *loading.Planner {
	p := loading.NewPlanner(engine, loading.Options{Random: func() float64 { return 0 }})
	for _, id := range ids {
		p.SetEndpoint(start, described(id), nextRevision(), false)
	}
	return p
}

// completeLoad reports a waiting request for an adapter, completes its load, and returns the endpoint.
func completeLoad(t *testing.T, p *loading.Planner, number int) deployment.EndpointID {
	t.Helper()
	p.Report(start, "i", waitingDemand(adapter(number)))
	load := nextOrder(t, p, start, loading.Load)
	require.Equal(t, adapter(number), load.Adapter)
	p.Done(start, resultOf(load, loading.Holds))
	p.Report(start, "i", nil)
	return load.Endpoint.ID
}

func TestLoadPlacedOnEndpointWithSmallestBacklog(t *testing.T) {
	p := plannerWithEndpoints("busy", "idle")
	p.SetBacklog("busy", 300*time.Millisecond, work.Speed{})
	assert.EqualValues(t, "idle", completeLoad(t, p, 1))
	p.SetBacklog("busy", 0, work.Speed{})
	p.SetBacklog("idle", 300*time.Millisecond, work.Speed{})
	assert.EqualValues(t, "busy", completeLoad(t, p, 2))
}

func TestPromptsWaitingForLoadCountAtItsEndpoint(t *testing.T) {
	p := plannerWithEndpoints("a", "b")
	demand := func(number int) loading.Demand {
		return loading.Demand{Adapter: adapter(number), Waiting: 1, InTime: time.Second, Arrivals: 1, PromptTokens: 9000}
	}
	p.Report(start, "i", []loading.Demand{demand(1), demand(2)})
	first, second := nextOrder(t, p, start, loading.Load), nextOrder(t, p, start, loading.Load)
	assert.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
}

// TestSecondCopyRelievesBusyEndpoint: one copy receives all requests for an adapter; with a second copy, each
// receives half.
func TestSecondCopyRelievesBusyEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		prompts  int
		endpoint []string
		copies   int
	}{
		"little work":              {9_000, []string{"a", "b"}, 1},
		"much work":                {300_000, []string{"a", "b"}, 2},
		"much work, one endpoint":  {300_000, []string{"a"}, 1},
		"many requests, no prompt": {0, []string{"a", "b"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := plannerWithEndpoints(test.endpoint...)
			completeLoad(t, p, 1)
			p.Report(start, "i", []loading.Demand{{Adapter: adapter(1), Arrivals: 30, PromptTokens: test.prompts}})
			copies := 1
			if next, ok := p.Next(start.Add(time.Second)); ok && next.Kind == loading.Load {
				copies++
			}
			assert.Equal(t, test.copies, copies)
		})
	}
}

// TestBacklogForecastFollowsLoadStarts: if adapters wait for free places, the weight store's speed does not determine
// when they are loaded.
func TestBacklogForecastFollowsLoadStarts(t *testing.T) {
	p := plannerWithEndpoints("e")
	var demands []loading.Demand
	for number := range 20 {
		demands = append(demands, waitingDemand(adapter(number))...)
	}
	p.Report(start, "i", demands)
	started := 0
	for {
		next, ok := p.Next(start)
		if !ok {
			break
		}
		started++
		p.Done(start, resultOf(next, loading.Holds))
	}
	require.Equal(t, 4, started, "the endpoint has four places")
	_, backlog := p.Forecasts(start.Add(time.Millisecond))
	assert.Less(t, backlog, 3*time.Second, "the interval between load starts is not known yet")
	_, backlog = p.Forecasts(start.Add(900 * time.Millisecond))
	_, later := p.Forecasts(start.Add(1100 * time.Millisecond))
	assert.Greater(t, later, backlog)
	assert.Equal(t, 250*time.Millisecond+16*time.Second, later, "no load started in the last second, so one a second is assumed")
}
