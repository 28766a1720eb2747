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

// TestPlaceReservedForFormerPlannersLoadOneSequenceAhead covers an unload that had no effect, which a former planner
// may also have counted. The former planner's load then names a sequence one above the report's, and its place stays
// reserved after the plan's own sequence was lowered to the reported one.
func TestPlaceReservedForFormerPlannersLoadOneSequenceAhead(t *testing.T) {
	p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
	p.Next(start.Add(time.Second))
	p.ConfirmUnused(start.Add(time.Second), confirmAll)
	now := start.Add(1100 * time.Millisecond)
	p.Done(now, resultOf(nextOrder(t, p, now, loading.Unload), loading.Holds))
	p.RequestInspection("e")
	answerInspection(t, p, now, &loading.Report{Sequence: 4, Adapters: described("e", adapter(1), adapter(2), adapter(3)).Adapters})
	p.Report(now, "i", waitingDemand(adapter(9)))
	_, ok := p.Next(now.Add(100 * time.Millisecond))
	assert.False(t, ok, "three places are occupied and the fourth is reserved")
	after := start.Add(13 * time.Second)
	p.Report(after, "i", waitingDemand(adapter(9)))
	assert.Equal(t, adapter(9), nextOrder(t, p, after, loading.Load).Adapter, "the former planner's order can no longer be carried out")
}

// TestReportWithHigherSequenceReservesPlaceForFormerPlannersLoad: orders that the plan did not know of were sent by a
// former planner, whose last order may still be in flight.
func TestReportWithHigherSequenceReservesPlaceForFormerPlannersLoad(t *testing.T) {
	p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
	p.RequestInspection("e")
	answerInspection(t, p, start, &loading.Report{Sequence: 6, Adapters: described("e", adapter(1), adapter(2), adapter(3)).Adapters})
	p.Report(start, "i", waitingDemand(adapter(9)))
	_, ok := p.Next(start.Add(100 * time.Millisecond))
	assert.False(t, ok, "three places are occupied and the fourth is reserved")
}

// TestPendingAdapterInReportNotOffered covers an adapter that an outdated description lists while it is being loaded.
func TestPendingAdapterInReportNotOffered(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e", adapter(1), adapter(2)), nextRevision(), false)
	report := &loading.Report{Sequence: 6, Adapters: described("e", adapter(1)).Adapters, Pending: []deployment.Adapter{adapter(2)}}
	answerInspection(t, p, start, report)
	_, offered := p.Offered("e")
	assert.Equal(t, report.Adapters, offered)
	list, _ := p.Forecasts(start)
	assert.Len(t, list, 1)
}

// TestReportAfterUnknownOrdersRemovesUnlistedLoad: the lists of a report do not lag behind orders that the plan did
// not send.
func TestReportAfterUnknownOrdersRemovesUnlistedLoad(t *testing.T) {
	for sequence, kept := range map[int64]bool{1: true, 2: false} {
		p, load := plannerWithLoadOrder(t)
		p.Done(start, resultOf(load, loading.Accepted))
		p.Report(start, "i", nil)
		p.RequestInspection("e")
		answerInspection(t, p, start, &loading.Report{Sequence: sequence})
		list, _ := p.Forecasts(start)
		assert.Equal(t, kept, len(list) == 1, "sequence %d", sequence)
	}
}

// TestOverfullEndpointInspectedInsteadOfPolled: if the endpoint does not know the load, it treats a poll as a new
// load order.
func TestOverfullEndpointInspectedInsteadOfPolled(t *testing.T) {
	for resident, kind := range map[int]loading.OrderKind{3: loading.Load, 4: loading.Inspect} {
		p := newPlanner(1)
		held := make(map[deployment.Adapter]int64)
		for number := range resident {
			held[adapter(number)] = 1
		}
		p.SetEndpoint(start, described("e", adapter(0)), nextRevision(), false)
		answerInspection(t, p, start, &loading.Report{Sequence: 6, Adapters: held, Pending: []deployment.Adapter{adapter(9)}})
		next, ok := p.Next(start.Add(time.Second))
		require.True(t, ok)
		assert.Equal(t, kind, next.Kind, "%d resident adapters", resident)
	}
}

// TestCopyListedOnlyInDescriptionRemovedByReport covers a planner that takes over when the store is available again:
// the descriptions predate the outage, and the endpoint's own report lists other adapters. An unload of an adapter
// that the endpoint does not hold would be done at once and not be counted.
func TestCopyListedOnlyInDescriptionRemovedByReport(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e", adapter(1), adapter(2), adapter(3), adapter(4)), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Sequence: 9, Adapters: described("e", adapter(1), adapter(2), adapter(5)).Adapters})
	_, offered := p.Offered("e")
	assert.Equal(t, described("e", adapter(1), adapter(2), adapter(5)).Adapters, offered)
}

// TestOneUnloadAtATimePerEndpoint: while one unload waits for the requests that use its copy, the endpoint refuses
// other unloads, which were then ordered again and again.
func TestOneUnloadAtATimePerEndpoint(t *testing.T) {
	p := fullPlanner(copyUse{})
	now := start.Add(time.Second)
	p.Next(now)
	p.ConfirmUnused(now, confirmAll)
	unload := nextOrder(t, p, now, loading.Unload)
	p.Next(now.Add(10 * time.Millisecond))
	p.ConfirmUnused(now.Add(10*time.Millisecond), confirmAll)
	p.Done(now, resultOf(unload, loading.Accepted))
	_, ok := p.Next(now.Add(100*time.Millisecond - 1))
	assert.False(t, ok, "no second unload while one is in progress")
	poll := nextOrder(t, p, now.Add(100*time.Millisecond), loading.Unload)
	assert.True(t, poll.Poll)
	p.Done(now.Add(100*time.Millisecond), resultOf(poll, loading.Holds))
	assert.False(t, nextOrder(t, p, now.Add(100*time.Millisecond), loading.Unload).Poll)
}

// TestPauseAfterOrderRefusedAtCorrectSequence: the next order follows 300 ms after the report was read, because
// another order is in progress, such as a former planner's unload that waits for the requests that use its copy.
// There is no pause if the report has a higher sequence.
func TestPauseAfterOrderRefusedAtCorrectSequence(t *testing.T) {
	for sequence, pause := range map[int64]time.Duration{4: 300 * time.Millisecond, 5: 0} {
		full := described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters
		p := fullPlanner(copyUse{})
		now := start.Add(time.Second)
		p.Next(now)
		p.ConfirmUnused(now, confirmAll)
		p.Done(now, resultOf(nextOrder(t, p, now, loading.Unload), loading.Conflict))
		answerInspection(t, p, now, &loading.Report{Sequence: sequence, Adapters: full})
		if pause > 0 {
			_, ok := p.Next(now.Add(pause - 1))
			assert.False(t, ok, "just before")
		}
		assert.Equal(t, sequence, nextOrder(t, p, now.Add(pause), loading.Unload).ExpectedSequence)
	}
}

// TestLateLoadAfterUncountedUnloadDoesNotOverfillEndpoint covers a planner that takes over with an outdated
// description while the store is down. It unloads an adapter that only the description lists and counts this unload,
// which the endpoint does not. A load of the former planner, carried out late, then brings the endpoint to the same
// sequence, and the next load would exceed the endpoint's places.
func TestLateLoadAfterUncountedUnloadDoesNotOverfillEndpoint(t *testing.T) {
	e := newSimEndpoint(start, "e", protocolVariant{}, engine, "base")
	e.sequence = 4
	for number := 1; number <= 3; number++ {
		e.resident[adapter(number)] = true
	}
	e.takeSnapshot(start)
	use := copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1}
	p := loading.NewPlanner(engine, loading.Options{Rate: rate, Random: func() float64 { return 0 }, Uses: use.requests})
	p.SetEndpoint(start, described("e", adapter(1), adapter(2), adapter(9)), nextRevision(), false)
	late := loading.Order{Kind: loading.Load, Endpoint: described("e"), Adapter: adapter(7), ExpectedSequence: 4}
	for step := range 100 {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		if step == 25 {
			require.Equal(t, loading.Accepted, e.execute(now, late, true))
			p.Report(now, "i", waitingDemand(adapter(8)))
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
			p.Done(now, resultOf(next, e.execute(now, next, false)))
		}
	}
	assert.Empty(t, e.violations)
}
