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

// TestAFormerPlannersLoadMayBeOneAhead has an unload that did nothing, as a former planner may have had one: the number of its load
// is then one above the report's, and the place for it is kept after the plan's own number was taken back.
func TestAFormerPlannersLoadMayBeOneAhead(t *testing.T) {
	p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
	p.Next(start.Add(time.Second))
	p.ConfirmUnused(start.Add(time.Second), confirmAll)
	now := start.Add(1100 * time.Millisecond)
	p.Done(now, answer(order(t, p, now, loading.Unload), loading.Holds))
	p.NoteMissing("e")
	inspected(t, p, now, &loading.Report{Sequence: 4, Adapters: described("e", adapter(1), adapter(2), adapter(3)).Adapters})
	p.Report(now, "i", waiting(adapter(9)))
	_, ok := p.Next(now.Add(100 * time.Millisecond))
	assert.False(t, ok, "three places are taken and the fourth is kept")
	after := start.Add(13 * time.Second)
	p.Report(after, "i", waiting(adapter(9)))
	assert.Equal(t, adapter(9), order(t, p, after, loading.Load).Adapter, "no order is carried out any more")
}

// TestALaterReportMovesTheFormerPlannersLoad: more orders than the plan knew of are a former planner's, whose last one may still
// be on its way.
func TestALaterReportMovesTheFormerPlannersLoad(t *testing.T) {
	p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
	p.NoteMissing("e")
	inspected(t, p, start, &loading.Report{Sequence: 6, Adapters: described("e", adapter(1), adapter(2), adapter(3)).Adapters})
	p.Report(start, "i", waiting(adapter(9)))
	_, ok := p.Next(start.Add(100 * time.Millisecond))
	assert.False(t, ok, "three places are taken and the fourth is kept")
}

// TestWhatAReportListsAsOnItsWayIsNotOffered is about an adapter that an old description lists while a load of it runs.
func TestWhatAReportListsAsOnItsWayIsNotOffered(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e", adapter(1), adapter(2)), nextRevision(), false)
	report := &loading.Report{Sequence: 6, Adapters: described("e", adapter(1)).Adapters, Pending: []deployment.Adapter{adapter(2)}}
	inspected(t, p, start, report)
	_, offered := p.Offered("e")
	assert.Equal(t, report.Adapters, offered)
	list, _ := p.Forecasts(start)
	assert.Len(t, list, 1)
}

// TestAReportAfterUnknownOrdersDropsWhatItDoesNotList: its lists do not lag behind orders that the plan did not give.
func TestAReportAfterUnknownOrdersDropsWhatItDoesNotList(t *testing.T) {
	for sequence, kept := range map[int64]bool{1: true, 2: false} {
		p, load := firstLoad(t)
		p.Done(start, answer(load, loading.Accepted))
		p.Report(start, "i", nil)
		p.NoteMissing("e")
		inspected(t, p, start, &loading.Report{Sequence: sequence})
		list, _ := p.Forecasts(start)
		assert.Equal(t, kept, len(list) == 1, "at %d", sequence)
	}
}

// TestAnOverfullEndpointIsNotPolled: a poll is an order to load, if the endpoint knows nothing of the load.
func TestAnOverfullEndpointIsNotPolled(t *testing.T) {
	for resident, kind := range map[int]loading.OrderKind{3: loading.Load, 4: loading.Inspect} {
		p := newPlanner(1)
		held := make(map[deployment.Adapter]int64)
		for number := range resident {
			held[adapter(number)] = 1
		}
		p.SetEndpoint(start, described("e", adapter(0)), nextRevision(), false)
		inspected(t, p, start, &loading.Report{Sequence: 6, Adapters: held, Pending: []deployment.Adapter{adapter(9)}})
		next, ok := p.Next(start.Add(time.Second))
		require.True(t, ok)
		assert.Equal(t, kind, next.Kind, "%d resident", resident)
	}
}

// TestACopyThatOnlyADescriptionListsIsNotUnloaded is about a planner that takes over when the store is back: the descriptions are from
// before, and the endpoint's own report lists other adapters. An unload of what is not there is done at once and not counted.
func TestACopyThatOnlyADescriptionListsIsNotUnloaded(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e", adapter(1), adapter(2), adapter(3), adapter(4)), nextRevision(), false)
	inspected(t, p, start, &loading.Report{Sequence: 9, Adapters: described("e", adapter(1), adapter(2), adapter(5)).Adapters})
	_, offered := p.Offered("e")
	assert.Equal(t, described("e", adapter(1), adapter(2), adapter(5)).Adapters, offered)
}

// TestOneUnloadAtATime: while one waits for its runs, the endpoint refuses others, which were then ordered again and again.
func TestOneUnloadAtATime(t *testing.T) {
	p := fullPlanner(copyUse{})
	now := start.Add(time.Second)
	p.Next(now)
	p.ConfirmUnused(now, confirmAll)
	unload := order(t, p, now, loading.Unload)
	p.Next(now.Add(10 * time.Millisecond))
	p.ConfirmUnused(now.Add(10*time.Millisecond), confirmAll)
	p.Done(now, answer(unload, loading.Accepted))
	_, ok := p.Next(now.Add(100*time.Millisecond - 1))
	assert.False(t, ok, "another one is confirmed as unused")
	poll := order(t, p, now.Add(100*time.Millisecond), loading.Unload)
	assert.True(t, poll.Poll)
	p.Done(now.Add(100*time.Millisecond), answer(poll, loading.Holds))
	assert.False(t, order(t, p, now.Add(100*time.Millisecond), loading.Unload).Poll)
}

// TestARefusedOrderAtTheRightCountIsFollowedByAPause: 300 ms after the report was read, since another order is under way, such as a
// former planner's unload that waits for its runs; none where the report has a newer count.
func TestARefusedOrderAtTheRightCountIsFollowedByAPause(t *testing.T) {
	for sequence, pause := range map[int64]time.Duration{4: 300 * time.Millisecond, 5: 0} {
		full := described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters
		p := fullPlanner(copyUse{})
		now := start.Add(time.Second)
		p.Next(now)
		p.ConfirmUnused(now, confirmAll)
		p.Done(now, answer(order(t, p, now, loading.Unload), loading.Conflict))
		inspected(t, p, now, &loading.Report{Sequence: sequence, Adapters: full})
		if pause > 0 {
			_, ok := p.Next(now.Add(pause - 1))
			assert.False(t, ok, "just before")
		}
		assert.Equal(t, sequence, order(t, p, now.Add(pause), loading.Unload).ExpectedSequence)
	}
}

// TestAnUncountedUnloadHidesNoLateLoad is about a planner that takes over with a description of before, while the store is down: it
// unloads what only that lists, and counts this though the endpoint does not. A load of the former planner, carried out late, then
// brings the endpoint to the same count, and the next load would go beyond the places.
func TestAnUncountedUnloadHidesNoLateLoad(t *testing.T) {
	e := newHistoryEndpoint(start, "e", endpointRules{}, engine, "base")
	e.sequence = 4
	for number := 1; number <= 3; number++ {
		e.resident[adapter(number)] = true
	}
	e.note(start)
	use := copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1}
	p := loading.NewPlanner(engine, loading.Options{Rate: rate, Random: func() float64 { return 0 }, Uses: use.of})
	p.SetEndpoint(start, described("e", adapter(1), adapter(2), adapter(9)), nextRevision(), false)
	late := loading.Order{Kind: loading.Load, Endpoint: described("e"), Adapter: adapter(7), ExpectedSequence: 4}
	for step := range 100 {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		if step == 25 {
			require.Equal(t, loading.Accepted, e.take(now, late, true))
			p.Report(now, "i", waiting(adapter(8)))
		}
		p.ConfirmUnused(now, confirmAll)
		for {
			next, ok := p.Next(now)
			if !ok {
				break
			}
			if next.Kind == loading.Inspect {
				p.Done(now, loading.Result{Order: next, Reply: loading.Inspected, Report: e.reportAsOf(now)})
				continue
			}
			p.Done(now, answer(next, e.take(now, next, false)))
		}
	}
	assert.Empty(t, e.faults)
}
