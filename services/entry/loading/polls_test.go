// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// TestLoadPollTimes: the first poll is at 0.8 of the shortest time, or at 30 ms if the endpoint held the adapter
// before; further polls follow every 12 ms.
func TestLoadPollTimes(t *testing.T) {
	for name, test := range map[string]struct {
		held  map[deployment.Adapter]time.Time
		first time.Duration
	}{
		"from the weight store": {nil, 200 * time.Millisecond},
		"held before":           {map[deployment.Adapter]time.Time{adapter(1): start}, 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetEndpoint(start, described("e"), nextRevision(), false)
			p.RememberHeld("e", test.held)
			p.Report(start, "i", waitingDemand(adapter(1)))
			p.Done(start, resultOf(nextOrder(t, p, start, loading.Load), loading.Accepted))
			now := start.Add(test.first)
			assert.Equal(t, now, p.NextPoll())
			_, ok := p.Next(now.Add(-1))
			assert.False(t, ok, "just before")
			p.Done(now, resultOf(nextOrder(t, p, now, loading.Load), loading.Conflict))
			assert.Equal(t, now.Add(12*time.Millisecond), p.NextPoll())
		})
	}
}

// TestHeldAdapterCountsForRetentionTime guards against a plan that expects an endpoint to load an adapter fast for good. The first poll shows
// what the plan expects.
func TestHeldAdapterCountsForRetentionTime(t *testing.T) {
	const warm, cold = 30 * time.Millisecond, 200 * time.Millisecond
	for _, row := range []struct {
		after time.Duration
		first time.Duration
	}{{0, warm}, {deployment.HeldRetention, warm}, {deployment.HeldRetention + 1, cold}} {
		p := newPlanner(1)
		p.SetEndpoint(start, described("e"), nextRevision(), false)
		p.RememberHeld("e", map[deployment.Adapter]time.Time{adapter(1): start})
		now := start.Add(row.after)
		p.Sweep(now)
		p.Report(now, "i", waitingDemand(adapter(1)))
		p.Done(now, resultOf(nextOrder(t, p, now, loading.Load), loading.Accepted))
		assert.Equal(t, now.Add(row.first), p.NextPoll(), "after %s", row.after)
	}
}

// TestRetentionTimeOfHeldAdapterStartsWhenItIsDropped lets an endpoint drop a copy by itself after it held the copy for long.
func TestRetentionTimeOfHeldAdapterStartsWhenItIsDropped(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	p.Done(start, resultOf(load, loading.Holds))
	now := start
	for range 60 {
		now = now.Add(time.Minute)
		p.Sweep(now)
	}
	p.SetEndpoint(now, described("e"), nextRevision(), false)
	answerInspection(t, p, now, &loading.Report{Sequence: 1})
	now = now.Add(deployment.HeldRetention)
	p.Sweep(now)
	p.Report(now, "i", waitingDemand(adapter(1)))
	p.Done(now, resultOf(nextOrder(t, p, now, loading.Load), loading.Accepted))
	assert.Equal(t, now.Add(30*time.Millisecond), p.NextPoll())
}

// TestBaseModelPollAndInspectionTimes: the first poll is at 400 ms; after 5 s the endpoint is inspected.
func TestBaseModelPollAndInspectionTimes(t *testing.T) {
	for after, inspected := range map[time.Duration]bool{5 * time.Second: false, 5*time.Second + 1: true} {
		p := newPlanner(1)
		p.SetEndpoint(start, deployment.Endpoint{ID: "e", Service: "s"}, nextRevision(), false)
		p.Done(start, resultOf(nextOrder(t, p, start, loading.Load), loading.Accepted))
		assert.Equal(t, start.Add(400*time.Millisecond), p.NextPoll())
		now := start.Add(after)
		p.Done(now, resultOf(nextOrder(t, p, now, loading.Load), loading.Accepted))
		next, ok := p.Next(now.Add(time.Second))
		require.True(t, ok)
		assert.Equal(t, inspected, next.Kind == loading.Inspect, "after %s", after)
	}
}

func TestUnloadPollInterval(t *testing.T) {
	p := fullPlanner(copyUse{})
	p.Next(start)
	p.ConfirmUnused(start, confirmAll)
	p.Done(start, resultOf(nextOrder(t, p, start, loading.Unload), loading.Accepted))
	now := start.Add(100 * time.Millisecond)
	_, ok := p.Next(now.Add(-1))
	assert.False(t, ok, "just before")
	assert.True(t, nextOrder(t, p, now, loading.Unload).Poll)
}

// TestReportsReadForFourSecondsAfterUnansweredOrder: reports are read every 80 ms, for 4 s after an unanswered order.
func TestReportsReadForFourSecondsAfterUnansweredOrder(t *testing.T) {
	read := start.Add(150 * time.Millisecond)
	for name, test := range map[string]struct {
		now  time.Time
		kind loading.OrderKind
	}{
		"after the pause":         {read.Add(80 * time.Millisecond), loading.Inspect},
		"just before the 4 s end": {start.Add(4*time.Second - 1), loading.Inspect},
		"after the 4 s":           {start.Add(4 * time.Second), loading.Load},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := plannerWithLoadOrder(t)
			p.Done(start, resultOf(load, loading.Unanswered))
			report := &loading.Report{Sequence: 1, Pending: []deployment.Adapter{adapter(1)}}
			answerInspection(t, p, read, report)
			_, ok := p.Next(read.Add(80*time.Millisecond - 1))
			assert.False(t, ok, "just before the pause ends")
			nextOrder(t, p, test.now, test.kind)
		})
	}
}

// TestUnlistedLoadRemovedAfterReportLag: a load that the report does not list counts as failed once it is older than
// 0.5 s.
func TestUnlistedLoadRemovedAfterReportLag(t *testing.T) {
	for after, kept := range map[time.Duration]bool{500 * time.Millisecond: true, 500*time.Millisecond + 1: false} {
		p, load := plannerWithLoadOrder(t)
		p.Done(start, resultOf(load, loading.Accepted))
		p.Report(start, "i", nil)
		p.RequestInspection("e")
		now := start.Add(after)
		answerInspection(t, p, now, &loading.Report{Sequence: 1})
		list, _ := p.Forecasts(now)
		assert.Equal(t, kept, len(list) == 1, "after %s", after)
	}
}

func TestTwoPendingLoadsPerEndpoint(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	var demands []loading.Demand
	for number := range 4 {
		demands = append(demands, waitingDemand(adapter(number))...)
	}
	p.Report(start, "i", demands)
	for range 2 {
		p.Done(start, resultOf(nextOrder(t, p, start, loading.Load), loading.Accepted))
	}
	_, ok := p.Next(start)
	assert.False(t, ok)
}

// TestPauseAfterUnsuccessfulSearch: the pause is 0.4 ms for each endpoint, and at most 50 ms.
func TestPauseAfterUnsuccessfulSearch(t *testing.T) {
	for endpoints, pause := range map[int]time.Duration{1: 400 * time.Microsecond, 3: 1200 * time.Microsecond, 124: 49600 * time.Microsecond, 126: 50 * time.Millisecond} {
		p := newPlanner(1)
		for i := range endpoints {
			p.SetEndpoint(start, described(fmt.Sprint("e", i)), nextRevision(), false)
		}
		_, ok := p.Next(start)
		require.False(t, ok)
		p.Report(start, "i", waitingDemand(adapter(1)))
		_, ok = p.Next(start.Add(pause - 1))
		assert.False(t, ok, "%d endpoints, just before", endpoints)
		nextOrder(t, p, start.Add(pause), loading.Load)
	}
}

// TestHeldBonusBoundary compares a busy endpoint that held the adapter before with an idle one that did not.
func TestHeldBonusBoundary(t *testing.T) {
	for rate, chosen := range map[float64]deployment.EndpointID{19.7: "held", 19.9: "idle"} {
		p := loading.NewPlanner(engine, loading.Options{Random: func() float64 { return 0 }})
		p.SetEndpoint(start, described("held", adapter(9)), nextRevision(), false)
		p.SetEndpoint(start, described("idle"), nextRevision(), false)
		inspect := nextOrder(t, p, start, loading.Inspect)
		p.Done(start, loading.Result{Order: inspect, Reply: loading.Inspected, Report: &loading.Report{Adapters: inspect.Endpoint.Adapters}})
		p.RememberHeld("held", map[deployment.Adapter]time.Time{adapter(1): start})
		p.AddRates(start, map[deployment.Adapter]float64{adapter(9): rate})
		p.Report(start, "i", []loading.Demand{{Adapter: adapter(1), Waiting: 2000, InTime: time.Second}})
		load := nextOrder(t, p, start, loading.Load)
		assert.Equal(t, adapter(1), load.Adapter)
		assert.Equal(t, chosen, load.Endpoint.ID, "%v requests a second", rate)
	}
}

func TestDefaultVersionOfAdapter(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	p.Done(start, resultOf(load, loading.Holds))
	_, offered := p.Offered("e")
	assert.Equal(t, map[deployment.Adapter]int64{adapter(1): 1}, offered)
}

func TestMaxQueuedForecasts(t *testing.T) {
	for queued, forecasts := range map[int]int{99: 99, 100: 100, 101: 100} {
		p := newPlanner(1)
		var demands []loading.Demand
		for number := range queued {
			demands = append(demands, waitingDemand(adapter(number))...)
		}
		p.Report(start, "i", demands)
		list, backlog := p.Forecasts(start)
		assert.Len(t, list, forecasts)
		assert.Equal(t, time.Duration(queued+1)*250*time.Millisecond, backlog, "without endpoints, one load at a time")
	}
}

func TestRateDecays(t *testing.T) {
	var rate loading.Rate
	assert.Zero(t, rate.PerSecond(start), "no arrivals")
	rate.Add(start, 12)
	assert.InDelta(t, 1, rate.PerSecond(start), 1e-12)
	assert.InDelta(t, math.Exp(-1), rate.PerSecond(start.Add(12*time.Second)), 1e-12)
	assert.InDelta(t, 1, rate.PerSecond(start.Add(-time.Second)), 1e-12, "a clock that went back forgets nothing")
}

func TestTypicalLoadTimeFollowsLoads(t *testing.T) {
	limiter := loading.NewLoadLimiter()
	assert.Equal(t, 250*time.Millisecond, limiter.TypicalLoadTime())
	limiter.Record(start, 350*time.Millisecond)
	assert.InDelta(t, float64(270*time.Millisecond), float64(limiter.TypicalLoadTime()), 1)
}

func TestConcurrencyLimitFallsToSustainableLoad(t *testing.T) {
	limiter := steadyLoadLimiter()
	for range 7 {
		limiter.Record(start, 600*time.Millisecond)
	}
	require.Equal(t, 25, limiter.MaxLoads())
	// 600 ms are three times the shortest time, so 25 x 1.25 / 3 loads are sustainable.
	limiter.Record(start.Add(time.Second), 600*time.Millisecond)
	assert.Equal(t, 10, limiter.MaxLoads())
	limiter.Record(start.Add(2*time.Second), 600*time.Millisecond)
	assert.Equal(t, 8, limiter.MaxLoads(), "not below 8")
}

func TestConcurrencyLimitFallsByBackOffFactor(t *testing.T) {
	limiter := steadyLoadLimiter()
	for range 7 {
		limiter.Record(start, 280*time.Millisecond)
	}
	for i, concurrency := range []int{21, 18, 15, 13, 11, 9, 8, 8} {
		limiter.RecordParallel(start.Add(time.Duration(i+1)*time.Millisecond*400), 280*time.Millisecond, 280*time.Millisecond, 100)
		assert.Equal(t, concurrency, limiter.MaxLoads(), "25 x 0.85 to the power of %d, not below 8", i+1)
	}
}
