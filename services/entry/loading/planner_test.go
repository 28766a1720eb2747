// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

var (
	start  = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	engine = deployment.Engine{
		Slots: 8, WeightsMB: 1000, AdapterCapacity: 4, LoadsPerSecond: 3,
		Models: []deployment.Model{{Name: "base", WeightsMB: 900, AdapterMB: 10}},
	}
	rate = loading.RateOptions{PerSecond: 3, Window: 5 * time.Second, Tolerance: 1.1, Slack: 3}
)

func adapter(number int) deployment.Adapter {
	return deployment.Adapter{Model: "base", Name: fmt.Sprintf("a%d", number)}
}

// revisions is the last revision used for a description in any test.
var revisions atomic.Int64

func nextRevision() int64 {
	return revisions.Add(1)
}

func newPlanner(seed uint64) *loading.Planner {
	return loading.NewPlanner(engine, loading.Options{Rate: rate, Random: rand.New(rand.NewPCG(seed, 1)).Float64})
}

func described(id string, adapters ...deployment.Adapter) deployment.Endpoint {
	held := make(map[deployment.Adapter]int64)
	for _, adapter := range adapters {
		held[adapter] = 1
	}
	return deployment.Endpoint{ID: deployment.EndpointID(id), Service: "s", Models: []string{"base"}, Adapters: held}
}

func waitingDemand(adapter deployment.Adapter) []loading.Demand {
	return []loading.Demand{{Adapter: adapter, Waiting: 1, InTime: time.Second, Arrivals: 1}}
}

func resultOf(order loading.Order, reply loading.Reply) loading.Result {
	return loading.Result{Order: order, Reply: reply}
}

func TestRequestedAdapterLoadedAndPolledUntilResident(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	assert.Zero(t, load.ExpectedSequence)
	_, ok := p.Next(start)
	assert.False(t, ok, "one order at a time per endpoint")
	p.Done(start, resultOf(load, loading.Accepted))

	later := p.NextPoll()
	poll, ok := p.Next(later)
	require.True(t, ok)
	assert.True(t, poll.Poll)
	assert.Equal(t, int64(1), poll.ExpectedSequence, "the endpoint counts a load when it accepts it")
	p.Done(later, resultOf(poll, loading.Conflict))
	_, adapters := p.Offered("e")
	assert.Empty(t, adapters)

	later = p.NextPoll()
	poll, ok = p.Next(later)
	require.True(t, ok)
	p.Done(later, resultOf(poll, loading.Holds))
	_, adapters = p.Offered("e")
	assert.Contains(t, adapters, adapter(1))
}

func TestInspectionFollowsSequenceConflict(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	p.Done(start, resultOf(load, loading.Conflict))
	answerInspection(t, p, start, &loading.Report{Sequence: 7, Adapters: map[deployment.Adapter]int64{adapter(9): 1}})

	assert.Equal(t, int64(7), nextOrder(t, p, start, loading.Load).ExpectedSequence)
	_, adapters := p.Offered("e")
	assert.Contains(t, adapters, adapter(9))
}

// TestReportResolvesUnansweredLoad covers a load that was accepted although its reply was lost: it must be counted
// before another load is ordered.
func TestReportResolvesUnansweredLoad(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	p.Done(start, resultOf(load, loading.Unanswered))
	_, ok := p.Next(start)
	assert.False(t, ok, "no order before the pause ends")

	later := start.Add(200 * time.Millisecond)
	answerInspection(t, p, later, &loading.Report{Pending: []deployment.Adapter{adapter(1)}})
	// An endpoint that leaves orders unanswered is followed by its reports.
	later = later.Add(200 * time.Millisecond)
	answerInspection(t, p, later, &loading.Report{Sequence: 1, Adapters: map[deployment.Adapter]int64{adapter(1): 1}})
	_, offered := p.Offered("e")
	assert.Contains(t, offered, adapter(1))
	_, ok = p.Next(later)
	assert.False(t, ok, "the accepted load is not ordered again")
}

func TestWithdrawnCopyUnloadedOnlyAfterConfirmation(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e", adapter(1), adapter(2), adapter(3), adapter(4)), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{
		Sequence: 4, Adapters: described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters,
	})
	later := start.Add(3 * time.Second)
	_, ok := p.Next(later)
	assert.False(t, ok, "nothing is unloaded before it is confirmed as unused")
	_, offered := p.Offered("e")
	assert.Len(t, offered, 3, "one copy is withdrawn to free a place")

	p.ConfirmUnused(later, confirmNone)
	_, ok = p.Next(later)
	assert.False(t, ok)
	p.ConfirmUnused(later, confirmAll)
	unload, ok := p.Next(later)
	require.True(t, ok)
	assert.Equal(t, loading.Unload, unload.Kind)
	assert.NotContains(t, offered, unload.Adapter)
}

// TestPreviouslyHeldCopiesCountAfterTakeover covers a planner that takes over and has the copies recorded as held
// before. If it treated them as unloaded, it would overfill the endpoint.
func TestPreviouslyHeldCopiesCountAfterTakeover(t *testing.T) {
	p := newPlanner(1)
	full := described("e", adapter(1), adapter(2), adapter(3), adapter(4))
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	held := make(map[deployment.Adapter]time.Time)
	for resident := range full.Adapters {
		held[resident] = start
	}
	p.RememberHeld("e", held)
	p.SetEndpoint(start.Add(time.Millisecond), full, nextRevision(), false)
	p.Report(start, "i", waitingDemand(adapter(5)))
	for {
		order, ok := p.Next(start.Add(2 * time.Millisecond))
		if !ok {
			break
		}
		require.NotEqual(t, loading.Load, order.Kind, "a full endpoint receives no load")
		p.Done(start, resultOf(order, loading.NotDelivered))
	}
}

func TestFormerPlannersRatesProtectHotCopies(t *testing.T) {
	p := newPlanner(1)
	all := described("e", adapter(1), adapter(2), adapter(3), adapter(4))
	p.SetEndpoint(start, all, nextRevision(), false)
	p.AddRates(start, map[deployment.Adapter]float64{adapter(1): 5, adapter(2): 4, adapter(3): 3})
	answerInspection(t, p, start, &loading.Report{Adapters: all.Adapters})
	p.Next(start.Add(3 * time.Second))
	_, offered := p.Offered("e")
	assert.NotContains(t, offered, adapter(4), "the copy without requests is withdrawn")
	assert.Len(t, offered, 3)
}

func TestNewVersionLoadedBeforeOldCopyWithdrawn(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("old", adapter(1)), nextRevision(), false)
	p.SetEndpoint(start, described("free"), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Adapters: described("", adapter(1)).Adapters})
	p.AddRates(start, map[deployment.Adapter]float64{adapter(1): 1})
	p.SetVersion(start, adapter(1), 2)

	order, ok := p.Next(start)
	require.True(t, ok)
	assert.Equal(t, deployment.EndpointID("free"), order.Endpoint.ID)
	_, offered := p.Offered("old")
	assert.Contains(t, offered, adapter(1), "the old copy serves until the new one is resident")

	p.Done(start, resultOf(order, loading.Accepted))
	poll, _ := p.Next(p.NextPoll())
	p.Done(start.Add(300*time.Millisecond), resultOf(poll, loading.Holds))
	p.Next(start.Add(310 * time.Millisecond))
	_, offered = p.Offered("old")
	assert.NotContains(t, offered, adapter(1))
	_, offered = p.Offered("free")
	assert.Equal(t, int64(2), offered[adapter(1)])
}

func TestBaseModelLoadsStayWithinRate(t *testing.T) {
	p := newPlanner(1)
	for i := range 40 {
		p.SetEndpoint(start, deployment.Endpoint{ID: deployment.EndpointID(fmt.Sprint(i)), Service: "s"}, nextRevision(), false)
	}
	var started []time.Time
	for step := range 1000 {
		now := start.Add(time.Duration(step) * 20 * time.Millisecond)
		for {
			order, ok := p.Next(now)
			if !ok {
				break
			}
			require.True(t, order.Adapter.IsZero())
			if order.Poll {
				p.Done(now, resultOf(order, loading.Holds))
				continue
			}
			started = append(started, now)
			p.Done(now, resultOf(order, loading.Accepted))
		}
	}
	require.Len(t, started, 40)
	for i, end := range started {
		inWindow := 0
		for _, at := range started[:i+1] {
			if end.Sub(at) < rate.Window {
				inWindow++
			}
		}
		assert.LessOrEqual(t, inWindow, 19, "3 a second x 5 s x 1.1 + 3")
	}
}

func TestSuspectAndDrainingEndpointsReceiveNoCopies(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("suspect"), nextRevision(), true)
	leaving := described("leaving")
	leaving.State = deployment.Draining
	p.SetEndpoint(start, leaving, nextRevision(), false)
	p.Report(start, "i", waitingDemand(adapter(1)))
	_, ok := p.Next(start)
	assert.False(t, ok)
}

func TestForgottenInstanceCausesNoLoad(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", []loading.Demand{{Adapter: adapter(1), Waiting: 1, InTime: time.Second}})
	p.ForgetInstance("i")
	_, ok := p.Next(start)
	assert.False(t, ok)
}

func TestSaturatedCopyCausesAnotherLoad(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("saturated", adapter(1)), nextRevision(), false)
	p.SetEndpoint(start, described("free"), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Adapters: described("", adapter(1)).Adapters})
	p.Report(start, "i", waitingDemand(adapter(1)))
	_, ok := p.Next(start)
	assert.False(t, ok, "the copy is not on a saturated endpoint")

	p.SetSaturation("saturated", true, false)
	p.Report(start, "i", waitingDemand(adapter(1)))
	_, ok = p.Next(start.Add(100 * time.Millisecond))
	assert.False(t, ok, "a nearly saturated endpoint still serves its copies, so a second copy would waste a load and a place")

	p.SetSaturation("saturated", true, true)
	later := start.Add(time.Second)
	p.Report(later, "i", waitingDemand(adapter(1)))
	order, ok := p.Next(later)
	require.True(t, ok)
	assert.Equal(t, deployment.EndpointID("free"), order.Endpoint.ID)
}

// TestRereadDescriptionRemovesNoCopy covers a store outage: the endpoint could not describe what was loaded in the
// meantime, and its old description is read again.
func TestRereadDescriptionRemovesNoCopy(t *testing.T) {
	p := newPlanner(1)
	revision := nextRevision()
	p.SetEndpoint(start, described("e"), revision, false)
	p.Report(start, "i", waitingDemand(adapter(1)))
	order, _ := p.Next(start)
	p.Done(start, resultOf(order, loading.Holds))
	later := start.Add(10 * time.Second)
	p.SetEndpoint(later, described("e"), revision, false)
	_, offered := p.Offered("e")
	assert.Contains(t, offered, adapter(1))
	p.SetEndpoint(later, described("e"), revision+1, false)
	_, offered = p.Offered("e")
	assert.NotContains(t, offered, adapter(1), "a newer description without the copy applies")
}

// TestCopyOnWhichNoRequestMayBeginIsUnloaded guards against a request that begins on a former version after its limit: its instance took it
// back, but its endpoint kept it in the queue, and the former copy stayed there, since loads of the new version took long.
func TestCopyOnWhichNoRequestMayBeginIsUnloaded(t *testing.T) {
	oldest := int64(0)
	p := loading.NewPlanner(engine, loading.Options{
		Rate: loading.RateOptions{PerSecond: 1, Window: time.Second, Tolerance: 1}, Random: func() float64 { return 0.5 },
		OldestUsable: func(time.Time, deployment.Adapter) int64 { return oldest },
	})
	p.SetEndpoint(start, described("old", adapter(1)), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Adapters: described("", adapter(1)).Adapters})
	p.AddRates(start, map[deployment.Adapter]float64{adapter(1): 1})
	p.SetVersion(start, adapter(1), 2)
	p.Next(start)
	_, offered := p.Offered("old")
	assert.Contains(t, offered, adapter(1), "requests may still begin on the former version")

	oldest = 2
	later := start.Add(2500 * time.Millisecond)
	p.Next(later)
	_, offered = p.Offered("old")
	assert.NotContains(t, offered, adapter(1))
	p.ConfirmUnused(later, func(loading.Withdrawal) bool { return true })
	order := nextOrder(t, p, later, loading.Unload)
	assert.Equal(t, adapter(1), order.Adapter)
}
