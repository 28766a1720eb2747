// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// copyUse is the number of requests in flight for each copy.
type copyUse map[deployment.Adapter]int

func (u copyUse) requests(_ deployment.EndpointID, adapter deployment.Adapter) int {
	return u[adapter]
}

// fullPlanner returns a planner for one endpoint whose four places hold the adapters 1 to 4.
func fullPlanner(use copyUse) *loading.Planner {
	p := loading.NewPlanner(engine, loading.Options{Rate: rate, Random: rand.New(rand.NewPCG(1, 1)).Float64, Uses: use.requests})
	full := described("e", adapter(1), adapter(2), adapter(3), adapter(4))
	p.SetEndpoint(start, full, nextRevision(), false)
	inspect, _ := p.Next(start)
	p.Done(start, loading.Result{Order: inspect, Reply: loading.Inspected, Report: &loading.Report{Sequence: 4, Adapters: full.Adapters}})
	return p
}

func confirmAll(loading.Withdrawal) bool { return true }

func confirmNone(loading.Withdrawal) bool { return false }

// TestCopyInUseNotWithdrawn covers days of high load: the copy with the lowest rate was withdrawn although a long
// stream used it, and nothing was unloaded for as long as the stream ran.
func TestCopyInUseNotWithdrawn(t *testing.T) {
	p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(4): 1})
	p.Next(start.Add(time.Second))
	_, offered := p.Offered("e")
	assert.Len(t, offered, 3)
	assert.NotContains(t, offered, adapter(3), "the only copy without requests in flight")
}

func TestSecondCopyWithdrawnDuringUnload(t *testing.T) {
	p := fullPlanner(copyUse{})
	p.Next(start.Add(time.Second))
	p.Next(start.Add(1100 * time.Millisecond))
	_, offered := p.Offered("e")
	assert.Len(t, offered, 3, "one copy is withdrawn at a time")

	p.ConfirmUnused(start.Add(1200*time.Millisecond), confirmAll)
	unload, ok := p.Next(start.Add(1300 * time.Millisecond))
	require.True(t, ok)
	require.Equal(t, loading.Unload, unload.Kind)
	p.Next(start.Add(1400 * time.Millisecond))
	_, offered = p.Offered("e")
	assert.Len(t, offered, 2, "the next withdrawal does not wait for the end of the unload")
}

func TestWithdrawnCopyInUseOfferedAgain(t *testing.T) {
	use := copyUse{}
	p := fullPlanner(use)
	p.Next(start.Add(time.Second))
	_, offered := p.Offered("e")
	require.Len(t, offered, 3)
	for number := 1; number <= 4; number++ {
		if _, kept := offered[adapter(number)]; !kept {
			use[adapter(number)] = 1
		}
	}
	p.ConfirmUnused(start.Add(1100*time.Millisecond), confirmNone)
	_, offered = p.Offered("e")
	assert.Len(t, offered, 3, "the request may end before the withdrawal times out")
	p.ConfirmUnused(start.Add(2*time.Second), confirmNone)
	_, offered = p.Offered("e")
	assert.Len(t, offered, 4)
}

// TestReportOlderThanConfirmedOrderRejected covers a report that lags behind an unload. If it were applied, it would
// lower the sequence, so that the next load would be polled with a wrong sequence forever, and the unloaded copy
// would count again.
func TestReportOlderThanConfirmedOrderRejected(t *testing.T) {
	p := fullPlanner(copyUse{})
	p.Next(start.Add(time.Second))
	p.ConfirmUnused(start.Add(time.Second), confirmAll)
	now := start.Add(1100 * time.Millisecond)
	unload, ok := p.Next(now)
	require.True(t, ok)
	p.Done(now, resultOf(unload, loading.Holds))

	p.RequestInspection("e")
	stale := described("e", adapter(1), adapter(2), adapter(3), adapter(4))
	answerInspection(t, p, now, &loading.Report{Sequence: 4, Adapters: stale.Adapters})
	_, ok = p.Next(now)
	assert.False(t, ok, "the report is read again a little later")

	now = now.Add(200 * time.Millisecond)
	delete(stale.Adapters, unload.Adapter)
	answerInspection(t, p, now, &loading.Report{Sequence: 5, Adapters: stale.Adapters})
	p.Report(now, "i", waitingDemand(adapter(9)))
	assert.Equal(t, int64(5), nextOrder(t, p, now, loading.Load).ExpectedSequence)
}

// TestBaseModelLoadEndsWhenModelIsReported covers a restarted endpoint whose base model took longer than the first
// poll. The load was polled with a wrong sequence from then on, and the endpoint received no adapter any more.
func TestBaseModelLoadEndsWhenModelIsReported(t *testing.T) {
	for name, notice := range map[string]func(t *testing.T, p *loading.Planner, now time.Time){
		"by its description": func(t *testing.T, p *loading.Planner, now time.Time) {
			p.SetEndpoint(now, described("e"), nextRevision(), false)
			answerInspection(t, p, now, &loading.Report{Sequence: 1})
		},
		"by its report": func(t *testing.T, p *loading.Planner, now time.Time) {
			p.RequestInspection("e")
			answerInspection(t, p, now, &loading.Report{Sequence: 1, Models: []string{"base"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetEndpoint(start, deployment.Endpoint{ID: "e", Service: "s"}, nextRevision(), false)
			order, ok := p.Next(start)
			require.True(t, ok)
			require.True(t, order.Adapter.IsZero())
			p.Done(start, resultOf(order, loading.Accepted))

			now := start.Add(6 * time.Second)
			notice(t, p, now)
			p.Report(now, "i", waitingDemand(adapter(1)))
			order, ok = p.Next(now)
			require.True(t, ok)
			assert.Equal(t, adapter(1), order.Adapter)
			assert.False(t, order.Poll)
			assert.Equal(t, int64(1), order.ExpectedSequence)
		})
	}
}

func TestCachedBaseModelsLoadAtOnceOthersOneByOne(t *testing.T) {
	p := newPlanner(1)
	for _, id := range []deployment.EndpointID{"disk-1", "disk-2", "empty-1", "empty-2"} {
		endpoint := deployment.Endpoint{ID: id, Service: "s"}
		if id == "disk-1" || id == "disk-2" {
			endpoint.CachedModels = []string{"base"}
		}
		p.SetEndpoint(start, endpoint, nextRevision(), false)
	}
	ordered := make(map[deployment.EndpointID]bool)
	for {
		order, ok := p.Next(start)
		if !ok {
			break
		}
		ordered[order.Endpoint.ID] = true
		p.Done(start, resultOf(order, loading.Accepted))
	}
	assert.True(t, ordered["disk-1"] && ordered["disk-2"])
	assert.NotEqual(t, ordered["empty-1"], ordered["empty-2"], "one at a time from the weight store")
}

// TestFormerPlannersLoadsDoNotAffectConcurrency covers a takeover: loads that are nearly done when the new planner
// first sees them would be measured as very short. All others would then appear slow, until only one load at a time
// was allowed for good.
func TestFormerPlannersLoadsDoNotAffectConcurrency(t *testing.T) {
	p := newPlanner(1)
	for i := range 12 {
		p.SetEndpoint(start, described(fmt.Sprint("e", i), adapter(100+i)), nextRevision(), false)
	}
	now := start
	for range 12 {
		inspect := nextOrder(t, p, now, loading.Inspect)
		report := &loading.Report{Sequence: 2, Adapters: inspect.Endpoint.Adapters, Pending: []deployment.Adapter{adapter(50)}}
		p.Done(now, loading.Result{Order: inspect, Reply: loading.Inspected, Report: report})
	}
	now = now.Add(100 * time.Millisecond)
	for {
		poll, ok := p.Next(now)
		if !ok || !poll.Poll {
			break
		}
		p.Done(now.Add(time.Millisecond), resultOf(poll, loading.Holds))
	}
	now = now.Add(time.Second)
	var demands []loading.Demand
	for number := range 8 {
		demands = append(demands, loading.Demand{Adapter: adapter(200 + number), Waiting: 1, InTime: time.Second, Arrivals: 1})
	}
	p.Report(now, "i", demands)
	loads := 0
	for {
		nextOrder, ok := p.Next(now)
		if !ok {
			break
		}
		if nextOrder.Kind == loading.Load && !nextOrder.Poll {
			loads++
		}
		p.Done(now, resultOf(nextOrder, loading.Accepted))
	}
	assert.GreaterOrEqual(t, p.TypicalLoadTime(), 200*time.Millisecond)
	assert.Greater(t, loads, 5, "several loads run in parallel")
}
