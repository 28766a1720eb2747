// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

func TestCopyNeedValueBoundaries(t *testing.T) {
	// A rate of 1/15 a second is one request within the horizon of 15 s.
	const one = 1.0 / 15
	for name, test := range map[string]struct {
		need  loading.CopyNeed
		worth float64
	}{
		"no demand":                                          {loading.CopyNeed{}, 0},
		"no copy, high rate, no waiting request":             {loading.CopyNeed{Rate: 9}, 0},
		"outdated copy, expected use just below one request": {loading.CopyNeed{Outdated: 1, Rate: one * 0.999}, 0},
		"outdated copy, expected use of one request":         {loading.CopyNeed{Outdated: 1, Rate: one}, 1},
		"outdated copy, expected use above one request":      {loading.CopyNeed{Outdated: 1, Rate: 2 * one}, 2},
		"no copy, one waiting request, high rate":            {loading.CopyNeed{Waiting: 1, InTime: 1, Rate: 2 * one}, 3},
		"no copy, one request too late":                      {loading.CopyNeed{Waiting: 1}, 0.15},
		"no copy, one request in time":                       {loading.CopyNeed{Waiting: 1, InTime: 1}, 1},
		"no copy, one of three requests in time":             {loading.CopyNeed{Waiting: 3, InTime: 1}, 1.3},
		"more instances in time than waiting requests":       {loading.CopyNeed{Waiting: 1, InTime: 2}, 2},
		"first copy loading":                                 {loading.CopyNeed{Waiting: 9, InTime: 1, Loading: 1, Rate: 5}, 0},
		"copy on an endpoint that is not saturated":          {loading.CopyNeed{Waiting: 9, InTime: 1, Usable: 1, Free: 1, Rate: 0.5}, 0},
		"all copies saturated, no waiting request":           {loading.CopyNeed{Usable: 1, Rate: 0.5}, 0},
		"all copies saturated, one waiting request":          {loading.CopyNeed{Usable: 1, Waiting: 1}, 0.15},
		"high rate, no relief":                               {loading.CopyNeed{Usable: 1, Free: 1, Rate: 9}, 0},
		"high rate, relief of half a request a second":       {loading.CopyNeed{Usable: 1, Free: 1, Rate: 1, Relief: 0.5}, 0.5 * 15 * 0.4},
		"high rate, second copy loading, no relief":          {loading.CopyNeed{Usable: 1, Free: 1, Loading: 1, Rate: 9}, 0},
		"high rate, second copy loading, relief by a third":  {loading.CopyNeed{Usable: 1, Free: 1, Loading: 1, Rate: 9, Relief: 3}, 3 * 15 * 0.4},
		"all copies saturated, another copy loading":         {loading.CopyNeed{Usable: 1, Loading: 1, Waiting: 3, Rate: 9}, 0},
		"first copy loading, relief by another":              {loading.CopyNeed{Waiting: 9, InTime: 1, Loading: 1, Rate: 5, Relief: 2}, 2 * 15 * 0.4},
		"all copies saturated, relief, no waiting request":   {loading.CopyNeed{Usable: 1, Rate: 1.5, Relief: 0.1}, 0.1 * 15 * 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			assert.InDelta(t, test.worth, test.need.Value(), 1e-9)
		})
	}
}

func TestResidentValueBoundaries(t *testing.T) {
	assert.InDelta(t, 15.0, loading.ResidentValue(1, 1), 1e-9)
	assert.InDelta(t, 7.5, loading.ResidentValue(1, 2), 1e-9)
	assert.InDelta(t, 15.0, loading.ResidentValue(1, 0), 1e-9, "a copy that is not counted as usable yet counts as one")
	assert.Zero(t, loading.ResidentValue(0, 1))
}

func TestDestinationCostBoundaries(t *testing.T) {
	cost := func(work float64, copies int, held bool, chance float64) float64 {
		return loading.DestinationFactors{Work: work, Copies: copies, HeldBefore: held, TieBreak: chance}.Cost()
	}
	assert.Zero(t, cost(0, 0, false, 0), "no work and no copies")
	assert.InDelta(t, 0.005, cost(0, 1, false, 0), 1e-12, "a copy costs 0.005 s")
	assert.Less(t, cost(0, 1, false, 1), cost(0, 2, false, 0), "the random cost is less than the cost of a copy")
	assert.InDelta(t, 0.002, cost(0, 0, false, 1), 1e-12)
	assert.Less(t, cost(0.499, 0, true, 0), cost(0, 0, false, 0), "held before, just below 0.5 s a second of additional work")
	assert.InDelta(t, cost(0, 0, false, 0), cost(0.5, 0, true, 0), 1e-12, "held before, 0.5 s a second of additional work")
	assert.Greater(t, cost(0.501, 0, true, 0), cost(0, 0, false, 0))
	busy := loading.DestinationFactors{Backlog: 300 * time.Millisecond}.Cost()
	assert.InDelta(t, cost(0.3, 0, false, 0), busy, 1e-12, "backlog costs as much as the work of one second")
}

func TestSparePlacesBoundaries(t *testing.T) {
	for capacity, spare := range map[int]int{0: 1, 1: 1, 6: 1, 13: 1, 14: 2, 20: 2, 100: 2} {
		assert.Equal(t, spare, loading.SparePlaces(capacity), "capacity %d", capacity)
	}
}

// steadyLoadLimiter returns the state after ten loads of 200 ms: 18 may run at once.
func steadyLoadLimiter() *loading.LoadLimiter {
	limiter := loading.NewLoadLimiter()
	for range 10 {
		limiter.Record(start, 200*time.Millisecond)
	}
	return limiter
}

func TestConcurrencyLimitBoundaries(t *testing.T) {
	assert.Equal(t, 8, loading.NewLoadLimiter().MaxLoads(), "initial limit")
	const slow = 251 * time.Millisecond
	for name, test := range map[string]struct {
		slow        int
		took        []time.Duration
		concurrency int
	}{
		"one load of the shortest time":                  {0, []time.Duration{200 * time.Millisecond}, 19},
		"eight loads of 1.25 times the shortest time":    {0, slices.Repeat([]time.Duration{250 * time.Millisecond}, 8), 26},
		"seven loads above 1.25 times the shortest time": {7, nil, 25},
		"eight loads above 1.25 times the shortest time": {8, nil, 21},
		"nine parallel slow loads":                       {9, nil, 21},
		"seven slow loads, a fast one, a slow one":       {7, []time.Duration{200 * time.Millisecond, slow}, 27},
		"a fast load after eight slow ones":              {8, []time.Duration{200 * time.Millisecond}, 21},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := steadyLoadLimiter()
			for _, took := range append(slices.Repeat([]time.Duration{slow}, test.slow), test.took...) {
				limiter.Record(start, took)
			}
			assert.Equal(t, test.concurrency, limiter.MaxLoads())
		})
	}
}

// TestConcurrencyNotLoweredByLateEndpoints observes every fourth load late, because its endpoint left orders
// unanswered. When the mean of all loads was used, the limit fell to eight, a quarter of what the store serves at
// full speed.
func TestConcurrencyNotLoweredByLateEndpoints(t *testing.T) {
	limiter := loading.NewLoadLimiter()
	now := start
	for number := range 400 {
		now = now.Add(10 * time.Millisecond)
		took := 260 * time.Millisecond
		if number%4 == 0 {
			took = 900 * time.Millisecond
		}
		limiter.Record(now, took)
	}
	assert.Equal(t, 200, limiter.MaxLoads())
}

// TestConcurrencyNotLoweredByLatePolls observes the end of each load 100 ms late, with the last poll before it 20 ms
// before the end.
func TestConcurrencyNotLoweredByLatePolls(t *testing.T) {
	limiter := steadyLoadLimiter()
	for range 100 {
		limiter.RecordParallel(start, 330*time.Millisecond, 230*time.Millisecond, limiter.MaxLoads())
	}
	assert.Equal(t, 118, limiter.MaxLoads())
}

func TestConcurrencyLimitNotRaisedWhileHalfUnused(t *testing.T) {
	for running, concurrency := range map[int]int{8: 18, 9: 19} {
		limiter := steadyLoadLimiter()
		limiter.RecordParallel(start, 200*time.Millisecond, 200*time.Millisecond, running)
		assert.Equal(t, concurrency, limiter.MaxLoads(), "%d of 18 loads running", running)
	}
}

func TestShortestLoadTimeGrowsWithTimeOnly(t *testing.T) {
	limiter := steadyLoadLimiter()
	for range 500 {
		limiter.Record(start, 500*time.Millisecond)
	}
	assert.Equal(t, 160*time.Millisecond, limiter.FirstPollDelay(), "0.8 of 200 ms, however long parallel loads take")
	limiter.Record(start.Add(10*time.Second), 500*time.Millisecond)
	assert.Equal(t, 192*time.Millisecond, limiter.FirstPollDelay(), "growth of one fiftieth a second")
}

// TestCachedLoadsDoNotAffectConcurrency: after a restart of all instances, the adapters cached by the endpoints were
// unknown. Their loads took a tenth of the time and made all others appear slow, until the limit was one load at a
// time.
func TestCachedLoadsDoNotAffectConcurrency(t *testing.T) {
	limiter := loading.NewLoadLimiter()
	before := limiter.FirstPollDelay()
	for range 20 {
		for range 8 {
			limiter.RecordEarlyEnd(start, limiter.FirstPollDelay())
		}
		limiter.Record(start, 250*time.Millisecond)
	}
	assert.Equal(t, 28, limiter.MaxLoads(), "only loads that did not end early count")
	assert.GreaterOrEqual(t, limiter.FirstPollDelay(), before)
	for range 1000 {
		limiter.RecordEarlyEnd(start, limiter.FirstPollDelay())
	}
	assert.Equal(t, 100*time.Millisecond, limiter.FirstPollDelay(), "at least 0.4 of the shortest time")
	for range 20 {
		limiter.Record(start, 300*time.Millisecond)
	}
	assert.Greater(t, limiter.MaxLoads(), 28, "loads from the weight store do not count as slow after cached loads")
}

func TestFirstPollDelayFollowsFasterStore(t *testing.T) {
	limiter := loading.NewLoadLimiter()
	const store = 120 * time.Millisecond
	for range 200 {
		if delay := limiter.FirstPollDelay(); delay >= store {
			limiter.RecordEarlyEnd(start, delay)
		} else {
			limiter.Record(start, store)
		}
	}
	assert.Less(t, limiter.FirstPollDelay(), store)
	assert.Greater(t, limiter.FirstPollDelay(), store/2)
	assert.Equal(t, store, limiter.TypicalLoadTime().Round(time.Millisecond))
}

func TestConcurrencyLimitStaysWithinBounds(t *testing.T) {
	limiter := loading.NewLoadLimiter()
	for range 500 {
		limiter.Record(start, 250*time.Millisecond)
	}
	assert.Equal(t, 200, limiter.MaxLoads())
	took := 500 * time.Millisecond
	for i := range 500 {
		// The shortest time grows by one fiftieth a second; each load takes twice that time.
		limiter.Record(start.Add(time.Duration(i)*time.Second), took)
		took += took / 50
	}
	assert.Equal(t, 8, limiter.MaxLoads(), "the minimum equals the initial limit")
}

func TestFirstPollBeforeShortestLoadTime(t *testing.T) {
	limiter := loading.NewLoadLimiter()
	assert.Equal(t, 200*time.Millisecond, limiter.FirstPollDelay())
	limiter.Record(start, 100*time.Millisecond)
	assert.Equal(t, 80*time.Millisecond, limiter.FirstPollDelay())
}

func TestModelLimiterBoundaries(t *testing.T) {
	// floor(3 x 5 x 1.1 + 3) - 2 = 17.
	loads := loading.NewModelLimiter(rate)
	for range 16 {
		loads.Record(start)
	}
	require.True(t, loads.Allows(start), "one load below the limit")
	loads.Record(start)
	assert.False(t, loads.Allows(start), "limit reached")
	assert.False(t, loads.Allows(start.Add(rate.Window-1)), "last moment of the window")
	assert.True(t, loads.Allows(start.Add(rate.Window)), "window has passed")

	tiny := loading.NewModelLimiter(loading.RateOptions{Window: time.Second})
	assert.True(t, tiny.Allows(start), "one load is always allowed")
	tiny.Record(start)
	assert.False(t, tiny.Allows(start))

	after := loading.NewModelLimiter(rate)
	after.Assume(start, 17)
	assert.False(t, after.Allows(start.Add(rate.Window-1)), "loads of a former planner count for one window")
	assert.True(t, after.Allows(start.Add(rate.Window)))
}

func TestWithdrawalTimeoutBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		inUse   int
		offered int
	}{
		"at the time-out":                     {400 * time.Millisecond, 1, 3},
		"just after the time-out":             {400*time.Millisecond + 1, 1, 4},
		"just after the time-out, not in use": {400*time.Millisecond + 1, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			use := copyUse{}
			p := fullPlanner(use)
			withdrawn := start.Add(time.Second)
			p.Next(withdrawn)
			_, offered := p.Offered("e")
			require.Len(t, offered, 3)
			for number := 1; number <= 4; number++ {
				if _, kept := offered[adapter(number)]; !kept {
					use[adapter(number)] = test.inUse
				}
			}
			p.ConfirmUnused(withdrawn.Add(test.after), confirmNone)
			_, offered = p.Offered("e")
			assert.Len(t, offered, test.offered)
		})
	}
}

// TestEvictionValueLimitBoundaries uses one endpoint whose four copies have the same request rate.
func TestEvictionValueLimitBoundaries(t *testing.T) {
	// 0.8 requests a second are 12 within the horizon of 15 s.
	for name, test := range map[string]struct {
		rate    float64
		offered int
	}{
		"just below the limit": {0.7999, 3},
		"at the limit":         {0.8, 4},
		"above the limit":      {0.9, 4},
	} {
		t.Run(name, func(t *testing.T) {
			p := fullPlanner(copyUse{})
			rates := make(map[deployment.Adapter]float64)
			for number := 1; number <= 4; number++ {
				rates[adapter(number)] = test.rate
			}
			p.AddRates(start, rates)
			p.Next(start)
			_, offered := p.Offered("e")
			assert.Len(t, offered, test.offered)
		})
	}
}

// TestEvictionProtectionBoundaries fills the four places of an endpoint one after the other.
func TestEvictionProtectionBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		offered int
	}{
		"just before the protection ends": {300*time.Millisecond - 1, 4},
		"protection has ended":            {300 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetEndpoint(start, described("e"), nextRevision(), false)
			for number := 1; number <= 4; number++ {
				p.Report(start, "i", waitingDemand(adapter(number)))
				order, ok := p.Next(start)
				require.True(t, ok)
				require.Equal(t, loading.Load, order.Kind)
				p.Done(start, resultOf(order, loading.Holds))
			}
			p.Report(start, "i", nil)
			p.Next(start.Add(test.after))
			_, offered := p.Offered("e")
			assert.Len(t, offered, test.offered)
		})
	}
}

// TestDescriptionLagBoundaries covers a copy loaded by this plan that a newer description lacks.
func TestDescriptionLagBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		kept  bool
	}{
		"description may lag behind": {3*time.Second - 1, true},
		"description is current":     {3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := plannerWithLoadOrder(t)
			p.Done(start, resultOf(load, loading.Holds))
			p.SetEndpoint(start.Add(test.after), described("e"), nextRevision(), false)
			_, offered := p.Offered("e")
			assert.Equal(t, test.kept, len(offered) == 1)
		})
	}
}

// TestSlowLoadLimitBoundaries covers an accepted load: it is polled, and inspected once it takes too long.
func TestSlowLoadLimitBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		after     time.Duration
		inspected bool
	}{
		"at the limit":          {1200 * time.Millisecond, false},
		"just after the limit":  {1200*time.Millisecond + 1, true},
		"long before the limit": {300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := plannerWithLoadOrder(t)
			p.Done(start, resultOf(load, loading.Accepted))
			now := start.Add(test.after)
			poll, ok := p.Next(now)
			require.True(t, ok)
			require.True(t, poll.Poll)
			p.Done(now, resultOf(poll, loading.Accepted))
			next, ok := p.Next(now.Add(time.Second))
			require.True(t, ok)
			assert.Equal(t, test.inspected, next.Kind == loading.Inspect)
		})
	}
}

// TestPauseAfterFailedOrderBoundaries covers the pause before the inspection that follows a failed or unanswered
// order.
func TestPauseAfterFailedOrderBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		reply loading.Reply
		after time.Duration
		asked bool
	}{
		"unanswered, just before the pause ends":    {loading.Unanswered, 150*time.Millisecond - 1, false},
		"unanswered, after the pause":               {loading.Unanswered, 150 * time.Millisecond, true},
		"not delivered, just before the pause ends": {loading.NotDelivered, 300*time.Millisecond - 1, false},
		"not delivered, after the pause":            {loading.NotDelivered, 300 * time.Millisecond, true},
		"rejected, just before the pause ends":      {loading.Rejected, 300*time.Millisecond - 1, false},
		"rejected, after the pause":                 {loading.Rejected, 300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := plannerWithLoadOrder(t)
			p.Done(start, resultOf(load, test.reply))
			next, ok := p.Next(start.Add(test.after))
			assert.Equal(t, test.asked, ok)
			if ok {
				assert.Equal(t, loading.Inspect, next.Kind, "the report shows the effect of the order")
			}
		})
	}
}

// TestFormerPlannersReservationBoundaries fills three of four places; the fourth is reserved for the last order that
// a former planner may have sent.
func TestFormerPlannersReservationBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		after  time.Duration
		loaded bool
	}{
		"order may still be carried out":     {13*time.Second - 1, false},
		"order can no longer be carried out": {13 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			held := described("e", adapter(1), adapter(2), adapter(3))
			p.SetEndpoint(start, held, nextRevision(), false)
			answerInspection(t, p, start, &loading.Report{Sequence: 3, Adapters: held.Adapters})
			now := start.Add(test.after)
			p.Report(now, "i", waitingDemand(adapter(5)))
			order, ok := p.Next(now)
			assert.Equal(t, test.loaded, ok)
			if ok {
				assert.Equal(t, loading.Load, order.Kind)
			}
		})
	}
}

func TestForecastBoundaries(t *testing.T) {
	p := newPlanner(1)
	list, backlog := p.Forecasts(start)
	assert.Empty(t, list)
	assert.Equal(t, 250*time.Millisecond, backlog, "without endpoints, the typical duration of one load")

	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", waitingDemand(adapter(1)))
	order, ok := p.Next(start)
	require.True(t, ok)
	p.Done(start, resultOf(order, loading.Accepted))
	list, _ = p.Forecasts(start.Add(249 * time.Millisecond))
	assert.Equal(t, []loading.Forecast{{Adapter: adapter(1), Remaining: time.Millisecond}}, list)
	list, _ = p.Forecasts(start.Add(time.Second))
	assert.Equal(t, []loading.Forecast{{Adapter: adapter(1)}}, list, "an overdue load may end at any time")
}
