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

// planWith gives a plan of empty endpoints.
func planWith(ids ...string) *loading.Planner {
	p := loading.NewPlanner(engine, loading.Options{Random: func() float64 { return 0 }})
	for _, id := range ids {
		p.SetEndpoint(start, described(id), nextRevision(), false)
	}
	return p
}

// loadOf lets an adapter be loaded that a request waits for, and gives the endpoint.
func loadOf(t *testing.T, p *loading.Planner, number int) deployment.EndpointID {
	t.Helper()
	p.Report(start, "i", waiting(adapter(number)))
	load := order(t, p, start, loading.Load)
	require.Equal(t, adapter(number), load.Adapter)
	p.Done(start, answer(load, loading.Holds))
	p.Report(start, "i", nil)
	return load.Endpoint.ID
}

func TestACopyComesToTheEndpointWithTheLeastToRead(t *testing.T) {
	p := planWith("busy", "idle")
	p.SetBacklog("busy", 300*time.Millisecond, work.Speed{})
	assert.EqualValues(t, "idle", loadOf(t, p, 1))
	p.SetBacklog("busy", 0, work.Speed{})
	p.SetBacklog("idle", 300*time.Millisecond, work.Speed{})
	assert.EqualValues(t, "busy", loadOf(t, p, 2))
}

func TestPromptsThatWaitForALoadCountWhereItGoes(t *testing.T) {
	p := planWith("a", "b")
	demand := func(number int) loading.Demand {
		return loading.Demand{Adapter: adapter(number), Waiting: 1, InTime: time.Second, Arrivals: 1, Prompts: 9000}
	}
	p.Report(start, "i", []loading.Demand{demand(1), demand(2)})
	first, second := order(t, p, start, loading.Load), order(t, p, start, loading.Load)
	assert.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
}

// TestASecondCopyRelievesABusyEndpoint: one copy draws all requests for an adapter. With a second one each would draw half.
func TestASecondCopyRelievesABusyEndpoint(t *testing.T) {
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
			p := planWith(test.endpoint...)
			loadOf(t, p, 1)
			p.Report(start, "i", []loading.Demand{{Adapter: adapter(1), Arrivals: 30, Prompts: test.prompts}})
			copies := 1
			if one, ok := p.Next(start.Add(time.Second)); ok && one.Kind == loading.Load {
				copies++
			}
			assert.Equal(t, test.copies, copies)
		})
	}
}

// TestTheBacklogFollowsWhatIsBegun: where adapters wait for places, the weight store's speed says nothing of when they come.
func TestTheBacklogFollowsWhatIsBegun(t *testing.T) {
	p := planWith("e")
	var demands []loading.Demand
	for number := range 20 {
		demands = append(demands, waiting(adapter(number))...)
	}
	p.Report(start, "i", demands)
	begun := 0
	for {
		one, ok := p.Next(start)
		if !ok {
			break
		}
		begun++
		p.Done(start, answer(one, loading.Holds))
	}
	require.Equal(t, 4, begun, "the endpoint has four places")
	_, backlog := p.Forecasts(start.Add(time.Millisecond))
	assert.Less(t, backlog, 3*time.Second, "nothing is known of the places yet")
	_, backlog = p.Forecasts(start.Add(900 * time.Millisecond))
	_, later := p.Forecasts(start.Add(1100 * time.Millisecond))
	assert.Greater(t, later, backlog)
	assert.Equal(t, 250*time.Millisecond+16*time.Second, later, "nothing began in the last second: one a second at most")
}
