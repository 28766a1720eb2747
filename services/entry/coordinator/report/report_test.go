// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	step                = time.Microsecond
	maxInterval         = 250 * time.Millisecond
	urgentInterval      = 2 * time.Millisecond
	acknowledgeInterval = 5 * time.Millisecond
)

var (
	start        = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapterKey   = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base", Name: "a1"}}
	otherKey     = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base", Name: "a2"}}
	baseModelKey = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base"}}
	route        = &deployment.Route{TargetLatency: 800 * time.Millisecond}
)

func TestIntervalsGrowAboveSixteenMembers(t *testing.T) {
	cases := map[int]time.Duration{0: maxInterval, 1: maxInterval, 15: maxInterval, 16: maxInterval, 17: 265625 * time.Microsecond, 32: 2 * maxInterval, 91: 1421875 * time.Microsecond}
	for members, interval := range cases {
		assert.Equal(t, interval, report.Stretch(maxInterval, members), "%d members", members)
	}
}

func TestReportsFollowTheirInterval(t *testing.T) {
	for _, members := range []int{1, 32} {
		stretched := report.Stretch(maxInterval, members)
		var schedule report.Schedule
		assert.True(t, schedule.Due(start, members), "first report")
		schedule.MarkSent(start)
		assert.False(t, schedule.Due(start.Add(stretched-step), members))
		assert.True(t, schedule.Due(start.Add(stretched), members))
		assert.True(t, schedule.Due(start.Add(stretched+step), members))
	}
}

func TestUrgentReportWaitsForUrgentInterval(t *testing.T) {
	var schedule report.Schedule
	schedule.MarkSent(start)
	assert.False(t, schedule.Request(start.Add(urgentInterval-step), 1))
	assert.False(t, schedule.Request(start.Add(urgentInterval-step), 1), "requested again")
	assert.False(t, schedule.Due(start.Add(urgentInterval-step), 1))
	assert.True(t, schedule.Due(start.Add(urgentInterval), 1))
	schedule.MarkSent(start.Add(urgentInterval))
	assert.False(t, schedule.Due(start.Add(2*urgentInterval), 1), "one report serves both requests")
	assert.True(t, schedule.Request(start.Add(2*urgentInterval), 1), "the last report is old enough")
}

func TestAcknowledgementWaitsForItsInterval(t *testing.T) {
	var schedule report.Schedule
	schedule.MarkSent(start)
	assert.False(t, schedule.RequestAcknowledge(start.Add(acknowledgeInterval-step), 1))
	assert.False(t, schedule.Due(start.Add(acknowledgeInterval-step), 1))
	assert.True(t, schedule.Due(start.Add(acknowledgeInterval), 1))
	assert.False(t, schedule.Due(start.Add(2*acknowledgeInterval-step), 32), "the interval grows with the fleet")
	assert.True(t, schedule.Due(start.Add(2*acknowledgeInterval), 32))
	assert.True(t, schedule.RequestAcknowledge(start.Add(acknowledgeInterval), 1))
}

func TestSkippedReportRemainsRequested(t *testing.T) {
	var schedule report.Schedule
	schedule.MarkSent(start)
	schedule.Request(start, 1)
	schedule.Skip(start.Add(urgentInterval))
	assert.False(t, schedule.Due(start.Add(urgentInterval), 1))
	assert.True(t, schedule.Due(start.Add(2*urgentInterval), 1))
	schedule.Restart()
	assert.True(t, schedule.Due(start.Add(urgentInterval), 1), "a report is due at once on a new link")
}

func waitingSince(since time.Time) *deployment.Request {
	return &deployment.Request{Route: route, Arrived: since}
}

func byName(list []wire.Demand) map[string]wire.Demand {
	demands := make(map[string]wire.Demand, len(list))
	for _, entry := range list {
		demands[entry.Name] = entry
	}
	return demands
}

func TestDemandReportsArrivalsOnceAndWaitingRequestsEachTime(t *testing.T) {
	demand := report.NewCounter()
	demand.AddArrival(adapterKey, 0)
	demand.AddArrival(adapterKey, 0)
	demand.AddArrival(baseModelKey, 0)
	first := demand.Collect(start, 2)
	first.AddWaiting(adapterKey, waitingSince(start.Add(-300*time.Millisecond)), "")
	first.AddWaiting(adapterKey, waitingSince(start.Add(-100*time.Millisecond)), "")
	first.AddWaiting(baseModelKey, waitingSince(start), "")
	assert.Equal(t, []wire.Demand{{
		Service: "chat", Model: "base", Name: "a1", Waiting: 2, InTime: 700 * time.Millisecond, Arrivals: 2,
	}}, first.List(), "the newest request decides how long an answer is in time; base models are not requested")

	second := demand.Collect(start, 1)
	second.AddWaiting(otherKey, waitingSince(start.Add(-time.Second)), "")
	assert.Equal(t, []wire.Demand{{Service: "chat", Model: "base", Name: "a2", Waiting: 1, InTime: -200 * time.Millisecond}}, second.List())
	assert.Empty(t, demand.Collect(start, 0).List())
}

func TestLeastLateRequestIsReported(t *testing.T) {
	demand := report.NewCounter()
	collection := demand.Collect(start, 2)
	collection.AddWaiting(adapterKey, waitingSince(start.Add(-time.Second)), "")
	collection.AddWaiting(adapterKey, waitingSince(start.Add(-2*time.Second)), "")
	assert.Equal(t, -200*time.Millisecond, collection.List()[0].InTime)
}

func TestAdapterOfRefusedCallerIsRequestedBeforeRetry(t *testing.T) {
	back := start.Add(3 * time.Second)
	cases := map[string]struct {
		now   time.Time
		asked bool
	}{
		"just before the notice":         {back.Add(-time.Second - step), false},
		"at the notice":                  {back.Add(-time.Second), true},
		"at the expected time":           {back, true},
		"at the end of the wait":         {back.Add(300 * time.Millisecond), true},
		"just after the end of the wait": {back.Add(300*time.Millisecond + step), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			demand := report.NewCounter()
			demand.ExpectRetry(adapterKey, "", back, route.TargetLatency)
			list := demand.Collect(c.now, 0).List()
			require.Equal(t, c.asked, len(list) == 1)
			if c.asked {
				assert.Equal(t, 1, list[0].Waiting)
				assert.Equal(t, back.Add(route.TargetLatency).Sub(c.now), list[0].InTime)
				assert.Len(t, demand.Collect(c.now, 0).List(), 1, "each report repeats it")
			}
		})
	}
}

func TestExpiredRetryIsRemoved(t *testing.T) {
	demand := report.NewCounter()
	demand.ExpectRetry(adapterKey, "", start, route.TargetLatency)
	demand.ExpectRetry(otherKey, "", start.Add(time.Hour), route.TargetLatency)
	assert.Empty(t, demand.Collect(start.Add(time.Second), 0).List())
	assert.Empty(t, demand.Collect(start, 0).List(), "an earlier time does not restore it")
	assert.Contains(t, byName(demand.Collect(start.Add(time.Hour), 0).List()), "a2")
}

func TestOnlyRatesAboveMinimumAreReported(t *testing.T) {
	demand := report.NewCounter()
	for range 12 {
		demand.AddArrival(adapterKey, 0)
	}
	demand.AddArrival(otherKey, 0)
	demand.Collect(start, 0)
	rates := demand.Rates(start)
	require.Len(t, rates, 2)
	for _, rate := range rates {
		assert.InDelta(t, map[string]float64{"a1": 1, "a2": 1.0 / 12}[rate.Name], rate.PerSecond, 1e-9, "over the memory of 12 s")
	}
	// 1/12 falls to 0.005 a second after 33.76 s, 1 after 63.58 s.
	assert.Len(t, demand.Rates(start.Add(33700*time.Millisecond)), 2)
	assert.Len(t, demand.Rates(start.Add(33800*time.Millisecond)), 1)
	demand.Sweep(start.Add(63600 * time.Millisecond))
	assert.Empty(t, demand.Rates(start))
}
