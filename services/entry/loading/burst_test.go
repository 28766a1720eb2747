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
	burstStep = 10 * time.Millisecond
	// burstReportInterval is the interval at which arrivals are reported to the planner.
	burstReportInterval = 200 * time.Millisecond
	burstPromptTokens   = 1460
	burstReadTime       = 76 * time.Millisecond
	burstTarget         = 800 * time.Millisecond
	burstLoadTime       = 250 * time.Millisecond
)

// burstFleet simulates callers of one adapter and a fleet of endpoints that read one prompt after another.
type burstFleet struct {
	planner *loading.Planner
	// busyUntil is when each endpoint has read the prompts sent to it; holders are the endpoints that hold the
	// adapter.
	busyUntil  map[deployment.EndpointID]time.Time
	holders    map[deployment.EndpointID]bool
	loadEnds   map[deployment.EndpointID]time.Time
	waiting    []time.Time
	unreported int
	loads      int
	// first holds the time from the arrival to the first event of each request.
	first []time.Duration
}

func newBurstFleet(endpoints int) *burstFleet {
	f := &burstFleet{
		planner:   loading.NewPlanner(engine, loading.Options{Rate: rate, Random: rand.New(rand.NewPCG(1, 1)).Float64}),
		busyUntil: make(map[deployment.EndpointID]time.Time), holders: make(map[deployment.EndpointID]bool),
		loadEnds: make(map[deployment.EndpointID]time.Time),
	}
	for number := range endpoints {
		f.planner.SetEndpoint(start, described(fmt.Sprintf("e%02d", number)), nextRevision(), false)
	}
	return f
}

// executeOrders carries out the planner's orders.
func (f *burstFleet) executeOrders(now time.Time) {
	for {
		next, ok := f.planner.Next(now)
		if !ok {
			return
		}
		reply := loading.Accepted
		end, underWay := f.loadEnds[next.Endpoint.ID]
		switch {
		case !underWay:
			f.loads++
			f.loadEnds[next.Endpoint.ID] = now.Add(burstLoadTime)
		case !now.Before(end):
			f.holders[next.Endpoint.ID] = true
			reply = loading.Holds
		}
		f.planner.Done(now, resultOf(next, reply))
	}
}

// serveWaiting sends the waiting requests to the holder that can read them first.
func (f *burstFleet) serveWaiting(now time.Time) {
	if len(f.holders) == 0 {
		return
	}
	for _, arrived := range f.waiting {
		var chosen deployment.EndpointID
		for id := range f.holders {
			if chosen == "" || f.busyUntil[id].Before(f.busyUntil[chosen]) {
				chosen = id
			}
		}
		begin := f.busyUntil[chosen]
		if begin.Before(now) {
			begin = now
		}
		f.busyUntil[chosen] = begin.Add(burstReadTime)
		f.first = append(f.first, f.busyUntil[chosen].Sub(arrived))
	}
	f.waiting = nil
}

// reportDemand reports waiting requests in each step, and arrivals when gathered is set.
func (f *burstFleet) reportDemand(now time.Time, gathered bool) {
	demand := loading.Demand{Adapter: adapter(1), Waiting: len(f.waiting), InTime: burstTarget}
	if gathered {
		demand.Arrivals, demand.PromptTokens = f.unreported, f.unreported*burstPromptTokens
		f.unreported = 0
	}
	f.planner.Report(now, "i", []loading.Demand{demand})
}

// TestBurstOfRequestsLoadsSeveralCopiesAtOnce sends 60 requests a second for 4 s for an adapter without earlier
// requests, to 40 endpoints that read a prompt in 76 ms. With only a rate over 12 s, which shows a tenth of that
// demand after a second, and one copy loaded after another, 193 of 240 callers received their first event later than
// 0.8 s. With the rate of the last second and parallel loads of copies, 20 do.
func TestBurstOfRequestsLoadsSeveralCopiesAtOnce(t *testing.T) {
	f := newBurstFleet(40)
	const callers = 240
	for passed := time.Duration(0); passed < 5*time.Second; passed += burstStep {
		now := start.Add(passed)
		for len(f.first)+len(f.waiting) < min(callers, int(passed.Seconds()*60)+1) {
			f.waiting = append(f.waiting, now)
			f.unreported++
		}
		f.reportDemand(now, passed%burstReportInterval == 0)
		f.executeOrders(now)
		f.serveWaiting(now)
	}
	late := 0
	for _, first := range f.first {
		if first > burstTarget {
			late++
		}
	}
	t.Logf("%d of %d callers late, %d loads", late, len(f.first), f.loads)
	assert.Len(t, f.first, callers)
	assert.Less(t, late, 30)
	assert.LessOrEqual(t, f.loads, 25)
}

// TestFewRequestsAreNotBurst sends four requests at once for an adapter that one endpoint holds.
func TestFewRequestsAreNotBurst(t *testing.T) {
	p := plannerWithEndpoints("a", "b")
	completeLoad(t, p, 1)
	p.Report(start, "i", []loading.Demand{{Adapter: adapter(1), Arrivals: 4, PromptTokens: 4 * burstPromptTokens}})
	_, ok := p.Next(start)
	assert.False(t, ok)
}
