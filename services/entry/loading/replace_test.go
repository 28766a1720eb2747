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

// recalledAt is when the requests of the former version are recalled. By then no place is reserved for a load of a former planner.
var recalledAt = start.Add(14 * time.Second)

// plannerOfFormerVersion returns a planner for one endpoint that holds the given adapters. Version 2 of adapter 1 is named, no request
// may begin on version 1, and one still runs on it.
func plannerOfFormerVersion(t *testing.T, held ...deployment.Adapter) *loading.Planner {
	t.Helper()
	use := copyUse{adapter(1): 1}
	p := loading.NewPlanner(engine, loading.Options{
		Rate: rate, Random: func() float64 { return 0.5 }, Uses: use.requests,
		OldestUsable: func(time.Time, deployment.Adapter) int64 { return 2 },
	})
	p.SetEndpoint(start, described("e", held...), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Sequence: 5, Adapters: described("", held...).Adapters})
	p.SetVersion(start, adapter(1), 2)
	p.Next(start)
	p.ConfirmUnused(recalledAt, confirmNone)
	return p
}

// acceptReplacement returns the order that replaces adapter 1, and answers it as accepted.
func acceptReplacement(t *testing.T, p *loading.Planner) loading.Order {
	t.Helper()
	p.RecordRecall("e", adapter(1))
	order := nextOrder(t, p, recalledAt, loading.Load)
	p.Done(recalledAt, resultOf(order, loading.Accepted))
	return order
}

// TestCopyInUseIsReplacedAfterRecall guards against a recalled request that its endpoint keeps and begins on a former version, beside
// another request that runs on that version.
func TestCopyInUseIsReplacedAfterRecall(t *testing.T) {
	p := plannerOfFormerVersion(t, adapter(1))
	_, ordered := p.Next(recalledAt)
	require.False(t, ordered, "no request was recalled from the copy")

	order := acceptReplacement(t, p)
	assert.Equal(t, adapter(1), order.Adapter)
	assert.EqualValues(t, 2, order.Version)
	assert.True(t, order.IsReplacement())
	_, ordered = p.Next(recalledAt.Add(100 * time.Millisecond))
	assert.False(t, ordered, "the replacement waits for the request that runs")

	polledAt := recalledAt.Add(300 * time.Millisecond)
	poll := nextOrder(t, p, polledAt, loading.Load)
	assert.True(t, poll.Poll)
	assert.EqualValues(t, 2, poll.Version, "an endpoint that does not know the order takes the poll as one")
	p.Done(polledAt, resultOf(poll, loading.Holds))
	_, offered := p.Offered("e")
	assert.Equal(t, map[deployment.Adapter]int64{adapter(1): 2}, offered)
}

// TestReplacementNeedsPlaceOfItsOwn guards against an endpoint that gets more adapters than it has places, where it counts a replacement
// in addition to the copy that it replaces.
func TestReplacementNeedsPlaceOfItsOwn(t *testing.T) {
	p := plannerOfFormerVersion(t, adapter(1), adapter(2), adapter(3), adapter(4))
	p.RecordRecall("e", adapter(1))
	_, ordered := p.Next(recalledAt)
	assert.False(t, ordered, "all places are occupied")
	_, offered := p.Offered("e")
	require.Len(t, offered, 2, "another copy makes room")
	p.ConfirmUnused(recalledAt, func(withdrawn loading.Withdrawal) bool { return withdrawn.Adapter != adapter(1) })
	unload := nextOrder(t, p, recalledAt, loading.Unload)
	p.Done(recalledAt, resultOf(unload, loading.Holds))

	acceptReplacement(t, p)
	p.Report(recalledAt, "i", waitingDemand(adapter(7)))
	_, ordered = p.Next(recalledAt)
	assert.False(t, ordered, "the last place is the replacement's")
}

// TestReplacementIsOrderedOnceUntilItEnds covers a refused order, which is repeated, and one that the endpoint accepted. A report that lists
// only the former version does not show that it was lost: an order that is repeated while it is in progress is not counted by the endpoint,
// so that the planner's sequence would be too high and its next order refused.
func TestReplacementIsOrderedOnceUntilItEnds(t *testing.T) {
	former := described("", adapter(1)).Adapters
	p := plannerOfFormerVersion(t, adapter(1))
	p.RecordRecall("e", adapter(1))
	p.Done(recalledAt, resultOf(nextOrder(t, p, recalledAt, loading.Load), loading.Conflict))
	answerInspection(t, p, recalledAt, &loading.Report{Sequence: 6, Adapters: former})
	order := acceptReplacement(t, p)
	assert.EqualValues(t, 6, order.ExpectedSequence)

	later := recalledAt
	for _, pending := range [][]deployment.Adapter{{adapter(1)}, nil, nil} {
		later = later.Add(time.Second)
		p.RequestInspection("e")
		answerInspection(t, p, later, &loading.Report{Sequence: 7, Adapters: former, Pending: pending})
		later = later.Add(time.Second)
		poll := nextOrder(t, p, later, loading.Load)
		assert.True(t, poll.Poll, "the endpoint still waits for the request that runs")
		assert.EqualValues(t, 2, poll.Version)
		assert.EqualValues(t, 7, poll.ExpectedSequence)
		p.Done(later, resultOf(poll, loading.Accepted))
	}
	later = later.Add(time.Second)
	p.RequestInspection("e")
	answerInspection(t, p, later, &loading.Report{Sequence: 7, Adapters: map[deployment.Adapter]int64{adapter(1): 2}})
	_, offered := p.Offered("e")
	assert.Equal(t, map[deployment.Adapter]int64{adapter(1): 2}, offered)
}

// TestNothingIsUnloadedDuringReplacement guards against orders that the endpoint refuses while a replacement waits for running requests: each
// refusal made the planner read a report and pause before the next order there.
func TestNothingIsUnloadedDuringReplacement(t *testing.T) {
	p := plannerOfFormerVersion(t, adapter(1), adapter(2), adapter(3))
	acceptReplacement(t, p)
	p.Next(recalledAt.Add(time.Millisecond))
	_, offered := p.Offered("e")
	require.Len(t, offered, 1, "another copy makes room")
	p.ConfirmUnused(recalledAt, confirmAll)
	_, ordered := p.Next(recalledAt.Add(2 * time.Millisecond))
	assert.False(t, ordered, "the unload waits for the replacement")

	later := recalledAt.Add(300 * time.Millisecond)
	p.Done(later, resultOf(nextOrder(t, p, later, loading.Load), loading.Holds))
	nextOrder(t, p, later, loading.Unload)
}

// TestReplacedCopyDoesNotDelayLoads guards against requests that wait for the end of a replacement, which may take as long as the longest
// request that runs on the former version.
func TestReplacedCopyDoesNotDelayLoads(t *testing.T) {
	p := plannerOfFormerVersion(t, adapter(1))
	acceptReplacement(t, p)
	p.SetEndpoint(recalledAt, described("other"), nextRevision(), false)
	p.Report(recalledAt, "i", waitingDemand(adapter(1)))
	order := nextOrder(t, p, recalledAt, loading.Load)
	assert.EqualValues(t, "other", order.Endpoint.ID)
	assert.False(t, order.IsReplacement())
}

// TestLateRecallDoesNotConcernNewerCopy guards against copies that are evicted without need: one that waits for its replacement makes no
// room, and a recall that is reported late must not make a copy of the newer version count as such.
func TestLateRecallDoesNotConcernNewerCopy(t *testing.T) {
	p := fullPlanner(copyUse{})
	p.RecordRecall("e", adapter(1))
	for step := range 10 {
		p.RecordRecall("e", adapter(step%4+1))
		p.Next(start.Add(time.Second + time.Duration(step)*100*time.Millisecond))
	}
	_, offered := p.Offered("e")
	assert.Len(t, offered, 3, "one copy is withdrawn at a time")
}
