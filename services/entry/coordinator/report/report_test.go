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
	step        = time.Microsecond
	pace        = 250 * time.Millisecond
	urgent      = 2 * time.Millisecond
	acknowledge = 5 * time.Millisecond
)

var (
	start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	one   = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base", Name: "a1"}}
	other = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base", Name: "a2"}}
	plain = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base"}}
	route = &deployment.Route{TargetLatency: 800 * time.Millisecond}
)

func TestPausesGrowWithFleetsAboveSixteen(t *testing.T) {
	cases := map[int]time.Duration{0: pace, 1: pace, 15: pace, 16: pace, 17: 265625 * time.Microsecond, 32: 2 * pace, 91: 1421875 * time.Microsecond}
	for members, pause := range cases {
		assert.Equal(t, pause, report.Stretch(pace, members), "%d members", members)
	}
}

func TestReportsFollowTheirPace(t *testing.T) {
	for _, members := range []int{1, 32} {
		stretched := report.Stretch(pace, members)
		var schedule report.Schedule
		assert.True(t, schedule.Due(start, members), "the first one")
		schedule.Sent(start)
		assert.False(t, schedule.Due(start.Add(stretched-step), members))
		assert.True(t, schedule.Due(start.Add(stretched), members))
		assert.True(t, schedule.Due(start.Add(stretched+step), members))
	}
}

func TestAnUrgentReportWaitsOnlyForItsOwnPause(t *testing.T) {
	var schedule report.Schedule
	schedule.Sent(start)
	assert.False(t, schedule.Ask(start.Add(urgent-step), 1))
	assert.False(t, schedule.Ask(start.Add(urgent-step), 1), "asked again")
	assert.False(t, schedule.Due(start.Add(urgent-step), 1))
	assert.True(t, schedule.Due(start.Add(urgent), 1))
	schedule.Sent(start.Add(urgent))
	assert.False(t, schedule.Due(start.Add(2*urgent), 1), "one report answers both")
	assert.True(t, schedule.Ask(start.Add(2*urgent), 1), "the last one is old enough")
}

func TestAnAcknowledgementWaitsForItsPause(t *testing.T) {
	var schedule report.Schedule
	schedule.Sent(start)
	assert.False(t, schedule.AskAcknowledge(start.Add(acknowledge-step), 1))
	assert.False(t, schedule.Due(start.Add(acknowledge-step), 1))
	assert.True(t, schedule.Due(start.Add(acknowledge), 1))
	assert.False(t, schedule.Due(start.Add(2*acknowledge-step), 32), "stretched with the fleet")
	assert.True(t, schedule.Due(start.Add(2*acknowledge), 32))
	assert.True(t, schedule.AskAcknowledge(start.Add(acknowledge), 1))
}

func TestWhatNobodyCouldBeToldIsStillAskedFor(t *testing.T) {
	var schedule report.Schedule
	schedule.Sent(start)
	schedule.Ask(start, 1)
	schedule.Skip(start.Add(urgent))
	assert.False(t, schedule.Due(start.Add(urgent), 1))
	assert.True(t, schedule.Due(start.Add(2*urgent), 1))
	schedule.Restart()
	assert.True(t, schedule.Due(start.Add(urgent), 1), "a new link is told at once")
}

func waits(since time.Time) *deployment.Request {
	return &deployment.Request{Route: route, Arrived: since}
}

func byName(list []wire.Demand) map[string]wire.Demand {
	demands := make(map[string]wire.Demand, len(list))
	for _, entry := range list {
		demands[entry.Name] = entry
	}
	return demands
}

func TestADemandTellsArrivalsOnceAndWaitingRequestsEachTime(t *testing.T) {
	demand := report.NewCounter()
	demand.Arrived(one, 0)
	demand.Arrived(one, 0)
	demand.Arrived(plain, 0)
	first := demand.Collect(start, 2)
	first.AddWaiting(one, waits(start.Add(-300*time.Millisecond)))
	first.AddWaiting(one, waits(start.Add(-100*time.Millisecond)))
	first.AddWaiting(plain, waits(start))
	assert.Equal(t, []wire.Demand{{
		Service: "chat", Model: "base", Name: "a1", Waiting: 2, InTime: 700 * time.Millisecond, Arrivals: 2,
	}}, first.List(), "the newest decides how long an answer is in time; base models are not asked for")

	second := demand.Collect(start, 1)
	second.AddWaiting(other, waits(start.Add(-time.Second)))
	assert.Equal(t, []wire.Demand{{Service: "chat", Model: "base", Name: "a2", Waiting: 1, InTime: -200 * time.Millisecond}}, second.List())
	assert.Empty(t, demand.Collect(start, 0).List())
}

func TestTheLatestOfLateRequestsIsTold(t *testing.T) {
	demand := report.NewCounter()
	collection := demand.Collect(start, 2)
	collection.AddWaiting(one, waits(start.Add(-time.Second)))
	collection.AddWaiting(one, waits(start.Add(-2*time.Second)))
	assert.Equal(t, -200*time.Millisecond, collection.List()[0].InTime)
}

func TestARefusedCallersAdapterIsAskedForShortlyBeforeItsReturn(t *testing.T) {
	back := start.Add(3 * time.Second)
	cases := map[string]struct {
		now   time.Time
		asked bool
	}{
		"just before the notice":      {back.Add(-time.Second - step), false},
		"at the notice":               {back.Add(-time.Second), true},
		"at its time":                 {back, true},
		"at the end of the wait":      {back.Add(300 * time.Millisecond), true},
		"just after the wait for him": {back.Add(300*time.Millisecond + step), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			demand := report.NewCounter()
			demand.ExpectBack(one, back, route.TargetLatency)
			list := demand.Collect(c.now, 0).List()
			require.Equal(t, c.asked, len(list) == 1)
			if c.asked {
				assert.Equal(t, 1, list[0].Waiting)
				assert.Equal(t, back.Add(route.TargetLatency).Sub(c.now), list[0].InTime)
				assert.Len(t, demand.Collect(c.now, 0).List(), 1, "each report tells it anew")
			}
		})
	}
}

func TestAReturnThatIsOverIsForgotten(t *testing.T) {
	demand := report.NewCounter()
	demand.ExpectBack(one, start, route.TargetLatency)
	demand.ExpectBack(other, start.Add(time.Hour), route.TargetLatency)
	assert.Empty(t, demand.Collect(start.Add(time.Second), 0).List())
	assert.Empty(t, demand.Collect(start, 0).List(), "an earlier time brings it not back")
	assert.Contains(t, byName(demand.Collect(start.Add(time.Hour), 0).List()), "a2")
}

func TestOnlyRatesWorthTellingAreTold(t *testing.T) {
	demand := report.NewCounter()
	for range 12 {
		demand.Arrived(one, 0)
	}
	demand.Arrived(other, 0)
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
