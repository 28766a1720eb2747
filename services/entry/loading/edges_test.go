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

func TestEdgesOfTheWorthOfACopy(t *testing.T) {
	// A rate of 1/15 a second is one request within the horizon of 15 s.
	const one = 1.0 / 15
	for name, test := range map[string]struct {
		need  loading.CopyNeed
		worth float64
	}{
		"nothing known":                                {loading.CopyNeed{}, 0},
		"no copy, used often, nobody waits":            {loading.CopyNeed{Rate: 9}, 0},
		"an older version, use just below one request": {loading.CopyNeed{Outdated: 1, Rate: one * 0.999}, 0},
		"an older version, use of one request":         {loading.CopyNeed{Outdated: 1, Rate: one}, 1},
		"an older version, use above one request":      {loading.CopyNeed{Outdated: 1, Rate: 2 * one}, 2},
		"no copy, one waits for it, used often":        {loading.CopyNeed{Waiting: 1, InTime: 1, Rate: 2 * one}, 3},
		"no copy, a request too late":                  {loading.CopyNeed{Waiting: 1}, 0.15},
		"no copy, a request in time":                   {loading.CopyNeed{Waiting: 1, InTime: 1}, 1},
		"no copy, one of three in time":                {loading.CopyNeed{Waiting: 3, InTime: 1}, 1.3},
		"more instances in time than waiting":          {loading.CopyNeed{Waiting: 1, InTime: 2}, 2},
		"the first copy is coming":                     {loading.CopyNeed{Waiting: 9, InTime: 1, Coming: 1, Rate: 5}, 0},
		"a copy with room":                             {loading.CopyNeed{Waiting: 9, InTime: 1, Usable: 1, Free: 1, Rate: 0.5}, 0},
		"all copies saturated, nobody waits":           {loading.CopyNeed{Usable: 1, Rate: 0.5}, 0},
		"all copies saturated, one waits":              {loading.CopyNeed{Usable: 1, Waiting: 1}, 0.15},
		"hot, no relief":                               {loading.CopyNeed{Usable: 1, Free: 1, Rate: 9}, 0},
		"hot, another copy takes half a request off":   {loading.CopyNeed{Usable: 1, Free: 1, Rate: 1, Relief: 0.5}, 0.5 * 15 * 0.4},
		"hot, a second copy is coming, no relief":      {loading.CopyNeed{Usable: 1, Free: 1, Coming: 1, Rate: 9}, 0},
		"hot, a third copy beside one that is coming":  {loading.CopyNeed{Usable: 1, Free: 1, Coming: 1, Rate: 9, Relief: 3}, 3 * 15 * 0.4},
		"all copies saturated, another one is coming":  {loading.CopyNeed{Usable: 1, Coming: 1, Waiting: 3, Rate: 9}, 0},
		"the first copy is coming, hot":                {loading.CopyNeed{Waiting: 9, InTime: 1, Coming: 1, Rate: 5, Relief: 2}, 2 * 15 * 0.4},
		"all copies saturated, hot, nobody waits here": {loading.CopyNeed{Usable: 1, Rate: 1.5, Relief: 0.1}, 0.1 * 15 * 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			assert.InDelta(t, test.worth, test.need.Value(), 1e-9)
		})
	}
}

func TestEdgesOfAResidentCopysUse(t *testing.T) {
	assert.InDelta(t, 15.0, loading.ResidentValue(1, 1), 1e-9)
	assert.InDelta(t, 7.5, loading.ResidentValue(1, 2), 1e-9)
	assert.InDelta(t, 15.0, loading.ResidentValue(1, 0), 1e-9, "a copy that is not counted as usable yet stands for itself")
	assert.Zero(t, loading.ResidentValue(0, 1))
}

func TestEdgesOfChoosingAnEndpoint(t *testing.T) {
	cost := func(work float64, copies int, held bool, chance float64) float64 {
		return loading.DestinationFactors{Work: work, Copies: copies, Held: held, Chance: chance}.Cost()
	}
	assert.Zero(t, cost(0, 0, false, 0), "nothing to do and nothing held")
	assert.InDelta(t, 0.005, cost(0, 1, false, 0), 1e-12, "a copy weighs five thousandths of a second")
	assert.Less(t, cost(0, 1, false, 1), cost(0, 2, false, 0), "chance weighs less than a copy")
	assert.InDelta(t, 0.002, cost(0, 0, false, 1), 1e-12)
	assert.Less(t, cost(0.499, 0, true, 0), cost(0, 0, false, 0), "held before, and just below half a second of work a second more")
	assert.InDelta(t, cost(0, 0, false, 0), cost(0.5, 0, true, 0), 1e-12, "at half a second of work a second more")
	assert.Greater(t, cost(0.501, 0, true, 0), cost(0, 0, false, 0))
	busy := loading.DestinationFactors{Backlog: 300 * time.Millisecond}.Cost()
	assert.InDelta(t, cost(0.3, 0, false, 0), busy, 1e-12, "what waits to be read weighs as much as what a second will bring")
}

func TestEdgesOfSparePlaces(t *testing.T) {
	for capacity, spare := range map[int]int{0: 1, 1: 1, 6: 1, 13: 1, 14: 2, 20: 2, 100: 2} {
		assert.Equal(t, spare, loading.SparePlaces(capacity), "capacity %d", capacity)
	}
}

// steadyPace gives a pace after ten loads of 200 ms: 18 may run at once.
func steadyPace() *loading.Pace {
	pace := loading.NewPace()
	for range 10 {
		pace.Note(start, 200*time.Millisecond)
	}
	return pace
}

func TestEdgesOfThePaceOfLoads(t *testing.T) {
	assert.Equal(t, 8, loading.NewPace().Concurrency(), "nothing measured")
	const slow = 251 * time.Millisecond
	for name, test := range map[string]struct {
		slow        int
		took        []time.Duration
		concurrency int
	}{
		"at the shortest time":              {0, []time.Duration{200 * time.Millisecond}, 19},
		"eight at 1.25 of it":               {0, slices.Repeat([]time.Duration{250 * time.Millisecond}, 8), 26},
		"seven above 1.25 of it":            {7, nil, 25},
		"eight above 1.25 of it":            {8, nil, 21},
		"nine beside each other":            {9, nil, 21},
		"eight, and a quick one among them": {7, []time.Duration{200 * time.Millisecond, slow}, 27},
		"after eight it grows less":         {8, []time.Duration{200 * time.Millisecond}, 21},
	} {
		t.Run(name, func(t *testing.T) {
			pace := steadyPace()
			for _, took := range append(slices.Repeat([]time.Duration{slow}, test.slow), test.took...) {
				pace.Note(start, took)
			}
			assert.Equal(t, test.concurrency, pace.Concurrency())
		})
	}
}

// TestLateEndpointsTellNothingOfTheWeightStore: each fourth load is seen late, since its endpoint left orders unanswered. By the mean of
// all loads the pace fell to eight at once, a quarter of what the store brings at full speed.
func TestLateEndpointsTellNothingOfTheWeightStore(t *testing.T) {
	pace := loading.NewPace()
	now := start
	for number := range 400 {
		now = now.Add(10 * time.Millisecond)
		took := 260 * time.Millisecond
		if number%4 == 0 {
			took = 900 * time.Millisecond
		}
		pace.Note(now, took)
	}
	assert.Equal(t, 200, pace.Concurrency())
}

// TestALatePlannerIsNoSlowStore: it sees each load end 100 ms late, asked about 20 ms before its end.
func TestALatePlannerIsNoSlowStore(t *testing.T) {
	pace := steadyPace()
	for range 100 {
		pace.NoteBeside(start, 330*time.Millisecond, 230*time.Millisecond, pace.Concurrency())
	}
	assert.Equal(t, 118, pace.Concurrency())
}

func TestALimitThatNothingReachesDoesNotGrow(t *testing.T) {
	for running, concurrency := range map[int]int{8: 18, 9: 19} {
		pace := steadyPace()
		pace.NoteBeside(start, 200*time.Millisecond, 200*time.Millisecond, running)
		assert.Equal(t, concurrency, pace.Concurrency(), "%d of 18 ran", running)
	}
}

func TestTheShortestLoadTimeGrowsWithTimeOnly(t *testing.T) {
	pace := steadyPace()
	for range 500 {
		pace.Note(start, 500*time.Millisecond)
	}
	assert.Equal(t, 160*time.Millisecond, pace.FirstLook(), "0.8 of 200 ms, whatever many loads at once take")
	pace.Note(start.Add(10*time.Second), 500*time.Millisecond)
	assert.Equal(t, 192*time.Millisecond, pace.FirstLook(), "a fiftieth a second")
}

// TestLoadsThatAnEndpointHadKeptTellNothingOfTheWeightStore: nobody knew after a restart of all instances what endpoints had kept,
// and loads that took a tenth made all others look slow, until one load at a time was left.
func TestLoadsThatAnEndpointHadKeptTellNothingOfTheWeightStore(t *testing.T) {
	pace := loading.NewPace()
	before := pace.FirstLook()
	for range 20 {
		for range 8 {
			pace.NoteQuick(start, pace.FirstLook())
		}
		pace.Note(start, 250*time.Millisecond)
	}
	assert.Equal(t, 28, pace.Concurrency(), "only the others count")
	assert.GreaterOrEqual(t, pace.FirstLook(), before)
	for range 1000 {
		pace.NoteQuick(start, pace.FirstLook())
	}
	assert.Equal(t, 100*time.Millisecond, pace.FirstLook(), "0.4 of the shortest time at least")
	for range 20 {
		pace.Note(start, 300*time.Millisecond)
	}
	assert.Greater(t, pace.Concurrency(), 28, "and loads of the weight store's time are not slow after them")
}

func TestAWeightStoreThatBecameFasterIsNoticed(t *testing.T) {
	pace := loading.NewPace()
	const store = 120 * time.Millisecond
	for range 200 {
		if look := pace.FirstLook(); look >= store {
			pace.NoteQuick(start, look)
		} else {
			pace.Note(start, store)
		}
	}
	assert.Less(t, pace.FirstLook(), store)
	assert.Greater(t, pace.FirstLook(), store/2)
	assert.Equal(t, store, pace.LoadTime().Round(time.Millisecond))
}

func TestThePaceStaysWithinItsBounds(t *testing.T) {
	pace := loading.NewPace()
	for range 500 {
		pace.Note(start, 250*time.Millisecond)
	}
	assert.Equal(t, 200, pace.Concurrency())
	took := 500 * time.Millisecond
	for i := range 500 {
		// The shortest time grows by one fiftieth a second; each load stays at twice of it.
		pace.Note(start.Add(time.Duration(i)*time.Second), took)
		took += took / 50
	}
	assert.Equal(t, 8, pace.Concurrency(), "as many as before anything was measured")
}

func TestTheFirstLookIsBeforeTheShortestTime(t *testing.T) {
	pace := loading.NewPace()
	assert.Equal(t, 200*time.Millisecond, pace.FirstLook())
	pace.Note(start, 100*time.Millisecond)
	assert.Equal(t, 80*time.Millisecond, pace.FirstLook())
}

func TestEdgesOfTheBoundOfModelLoads(t *testing.T) {
	// floor(3 x 5 x 1.1 + 3) - 2 = 17.
	loads := loading.NewModelLimiter(rate)
	for range 16 {
		loads.Begin(start)
	}
	require.True(t, loads.Allows(start), "just below the bound")
	loads.Begin(start)
	assert.False(t, loads.Allows(start), "at the bound")
	assert.False(t, loads.Allows(start.Add(rate.Window-1)), "just within the window")
	assert.True(t, loads.Allows(start.Add(rate.Window)), "the window is over")

	tiny := loading.NewModelLimiter(loading.RateOptions{Window: time.Second})
	assert.True(t, tiny.Allows(start), "one load is always allowed")
	tiny.Begin(start)
	assert.False(t, tiny.Allows(start))

	after := loading.NewModelLimiter(rate)
	after.Assume(start, 17)
	assert.False(t, after.Allows(start.Add(rate.Window-1)), "a former planner's loads count for a window")
	assert.True(t, after.Allows(start.Add(rate.Window)))
}

func TestEdgesOfOfferingAWithdrawnCopyAgain(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		inUse   int
		offered int
	}{
		"at the time-out":           {400 * time.Millisecond, 1, 3},
		"just after it":             {400*time.Millisecond + 1, 1, 4},
		"just after it, not in use": {400*time.Millisecond + 1, 0, 3},
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

// TestEdgesOfWhatIsNeverEvicted has one endpoint whose four copies are all as hot.
func TestEdgesOfWhatIsNeverEvicted(t *testing.T) {
	// 0.8 requests a second are 12 within the horizon of 15 s.
	for name, test := range map[string]struct {
		rate    float64
		offered int
	}{
		"just below": {0.7999, 3},
		"at":         {0.8, 4},
		"above":      {0.9, 4},
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

// TestEdgesOfASettledCopy has an endpoint with four places that are filled one after the other.
func TestEdgesOfASettledCopy(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		offered int
	}{
		"just before it is settled": {300*time.Millisecond - 1, 4},
		"settled":                   {300 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetEndpoint(start, described("e"), nextRevision(), false)
			for number := 1; number <= 4; number++ {
				p.Report(start, "i", waiting(adapter(number)))
				order, ok := p.Next(start)
				require.True(t, ok)
				require.Equal(t, loading.Load, order.Kind)
				p.Done(start, answer(order, loading.Holds))
			}
			p.Report(start, "i", nil)
			p.Next(start.Add(test.after))
			_, offered := p.Offered("e")
			assert.Len(t, offered, test.offered)
		})
	}
}

// TestEdgesOfAnOldDescription is about a copy that an own order brought and that a newer description lacks.
func TestEdgesOfAnOldDescription(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		kept  bool
	}{
		"the description may lag":    {3*time.Second - 1, true},
		"the description must be so": {3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := firstLoad(t)
			p.Done(start, answer(load, loading.Holds))
			p.SetEndpoint(start.Add(test.after), described("e"), nextRevision(), false)
			_, offered := p.Offered("e")
			assert.Equal(t, test.kept, len(offered) == 1)
		})
	}
}

// TestEdgesOfALoadThatTakesTooLong is about a load that was accepted: polls go on, and one too late is looked into.
func TestEdgesOfALoadThatTakesTooLong(t *testing.T) {
	for name, test := range map[string]struct {
		after     time.Duration
		inspected bool
	}{
		"at the limit":   {1200 * time.Millisecond, false},
		"just after it":  {1200*time.Millisecond + 1, true},
		"long before it": {300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := firstLoad(t)
			p.Done(start, answer(load, loading.Accepted))
			now := start.Add(test.after)
			poll, ok := p.Next(now)
			require.True(t, ok)
			require.True(t, poll.Poll)
			p.Done(now, answer(poll, loading.Accepted))
			next, ok := p.Next(now.Add(time.Second))
			require.True(t, ok)
			assert.Equal(t, test.inspected, next.Kind == loading.Inspect)
		})
	}
}

// TestEdgesOfAnEndpointThatLeavesOrdersUnanswered is about the rest after a lost answer.
func TestEdgesOfAnEndpointThatLeavesOrdersUnanswered(t *testing.T) {
	for name, test := range map[string]struct {
		reply loading.Reply
		after time.Duration
		asked bool
	}{
		"unanswered, just before the rest ends": {loading.Unanswered, 150*time.Millisecond - 1, false},
		"unanswered, the rest is over":          {loading.Unanswered, 150 * time.Millisecond, true},
		"failed, just before the rest ends":     {loading.NotDelivered, 300*time.Millisecond - 1, false},
		"failed, the rest is over":              {loading.NotDelivered, 300 * time.Millisecond, true},
		"rejected, just before the rest ends":   {loading.Rejected, 300*time.Millisecond - 1, false},
		"rejected, the rest is over":            {loading.Rejected, 300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			p, load := firstLoad(t)
			p.Done(start, answer(load, test.reply))
			next, ok := p.Next(start.Add(test.after))
			assert.Equal(t, test.asked, ok)
			if ok {
				assert.Equal(t, loading.Inspect, next.Kind, "the report shows what became of it")
			}
		})
	}
}

// TestEdgesOfAPlaceKeptForAFormerPlannersOrder has three of four places taken; the fourth is kept for an order that a former
// planner may have sent last.
func TestEdgesOfAPlaceKeptForAFormerPlannersOrder(t *testing.T) {
	for name, test := range map[string]struct {
		after  time.Duration
		loaded bool
	}{
		"it may still be carried out":    {13*time.Second - 1, false},
		"it is not carried out any more": {13 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			held := described("e", adapter(1), adapter(2), adapter(3))
			p.SetEndpoint(start, held, nextRevision(), false)
			inspected(t, p, start, &loading.Report{Sequence: 3, Adapters: held.Adapters})
			now := start.Add(test.after)
			p.Report(now, "i", waiting(adapter(5)))
			order, ok := p.Next(now)
			assert.Equal(t, test.loaded, ok)
			if ok {
				assert.Equal(t, loading.Load, order.Kind)
			}
		})
	}
}

func TestEdgesOfForecasts(t *testing.T) {
	p := newPlanner(1)
	list, backlog := p.Forecasts(start)
	assert.Empty(t, list)
	assert.Equal(t, 250*time.Millisecond, backlog, "without endpoints the usual time of one load is all that is known")

	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", waiting(adapter(1)))
	order, ok := p.Next(start)
	require.True(t, ok)
	p.Done(start, answer(order, loading.Accepted))
	list, _ = p.Forecasts(start.Add(249 * time.Millisecond))
	assert.Equal(t, []loading.Forecast{{Adapter: adapter(1), Remaining: time.Millisecond}}, list)
	list, _ = p.Forecasts(start.Add(time.Second))
	assert.Equal(t, []loading.Forecast{{Adapter: adapter(1)}}, list, "an overdue load is expected at any time")
}
