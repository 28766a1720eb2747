// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	hotStep = 10 * time.Millisecond
	// hotGathered is how often arrivals are told to the planner.
	hotGathered = 200 * time.Millisecond
	hotPrompt   = 1460
	hotRead     = 76 * time.Millisecond
	hotTarget   = 800 * time.Millisecond
	hotLoad     = 250 * time.Millisecond
)

// hotFleet plays callers of one adapter on a fleet of endpoints that read one prompt after the other.
type hotFleet struct {
	planner *loading.Planner
	// busyUntil is until when each endpoint reads the prompts that it has got; offered are those that hold the adapter.
	busyUntil map[deployment.EndpointID]time.Time
	offered   map[deployment.EndpointID]bool
	ends      map[deployment.EndpointID]time.Time
	waiting   []time.Time
	untold    int
	loads     int
	first     []time.Duration
}

func newHotFleet(endpoints int) *hotFleet {
	f := &hotFleet{
		planner:   loading.NewPlanner(engine, loading.Options{Rate: rate, Random: rand.New(rand.NewPCG(1, 1)).Float64}),
		busyUntil: make(map[deployment.EndpointID]time.Time), offered: make(map[deployment.EndpointID]bool),
		ends: make(map[deployment.EndpointID]time.Time),
	}
	for number := range endpoints {
		f.planner.SetEndpoint(start, described(fmt.Sprintf("e%02d", number)), nextRevision(), false)
	}
	return f
}

// order carries out what the planner wants now.
func (f *hotFleet) order(now time.Time) {
	for {
		one, ok := f.planner.Next(now)
		if !ok {
			return
		}
		reply := loading.Accepted
		end, underWay := f.ends[one.Endpoint.ID]
		switch {
		case !underWay:
			f.loads++
			f.ends[one.Endpoint.ID] = now.Add(hotLoad)
		case !now.Before(end):
			f.offered[one.Endpoint.ID] = true
			reply = loading.Holds
		}
		f.planner.Done(now, answer(one, reply))
	}
}

// serve sends the requests that wait to the copy with the least to read.
func (f *hotFleet) serve(now time.Time) {
	if len(f.offered) == 0 {
		return
	}
	for _, arrived := range f.waiting {
		var chosen deployment.EndpointID
		for id := range f.offered {
			if chosen == "" || f.busyUntil[id].Before(f.busyUntil[chosen]) {
				chosen = id
			}
		}
		begin := f.busyUntil[chosen]
		if begin.Before(now) {
			begin = now
		}
		f.busyUntil[chosen] = begin.Add(hotRead)
		f.first = append(f.first, f.busyUntil[chosen].Sub(arrived))
	}
	f.waiting = nil
}

// report tells the planner of waiting requests at once, and of arrivals when they are gathered.
func (f *hotFleet) report(now time.Time, gathered bool) {
	demand := loading.Demand{Adapter: adapter(1), Waiting: len(f.waiting), InTime: hotTarget}
	if gathered {
		demand.Arrivals, demand.Prompts = f.untold, f.untold*hotPrompt
		f.untold = 0
	}
	f.planner.Report(now, "i", []loading.Demand{demand})
}

// TestAnAdapterThatBecomesHotGetsItsCopiesAtOnce: 60 requests a second for an adapter that nobody asked for before, for 4 s, on 40 endpoints
// that read a prompt in 76 ms. A rate over 12 s knew a tenth of that after a second, and one copy was brought after the other: 193 of 240
// callers got their first event later than 0.8 s. Counted in the last second as well, with copies beside each other, 20 do.
func TestAnAdapterThatBecomesHotGetsItsCopiesAtOnce(t *testing.T) {
	f := newHotFleet(40)
	const callers = 240
	for passed := time.Duration(0); passed < 5*time.Second; passed += hotStep {
		now := start.Add(passed)
		for len(f.first)+len(f.waiting) < min(callers, int(passed.Seconds()*60)+1) {
			f.waiting = append(f.waiting, now)
			f.untold++
		}
		f.report(now, passed%hotGathered == 0)
		f.order(now)
		f.serve(now)
	}
	late := 0
	for _, first := range f.first {
		if first > hotTarget {
			late++
		}
	}
	t.Logf("%d of %d callers late, %d loads", late, len(f.first), f.loads)
	assert.Len(t, f.first, callers)
	assert.Less(t, late, 30)
	assert.LessOrEqual(t, f.loads, 25)
}

// TestAClusterOfRequestsIsNoSurge: four requests within a moment for an adapter that one endpoint holds.
func TestAClusterOfRequestsIsNoSurge(t *testing.T) {
	p := planWith("a", "b")
	loadOf(t, p, 1)
	p.Report(start, "i", []loading.Demand{{Adapter: adapter(1), Arrivals: 4, Prompts: 4 * hotPrompt}})
	_, ok := p.Next(start)
	assert.False(t, ok)
}
