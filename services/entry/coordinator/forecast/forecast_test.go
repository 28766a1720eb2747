// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forecast_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/forecast"
)

const (
	window = 1300 * time.Millisecond
	step   = time.Millisecond
)

var (
	now = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	key = deployment.ServiceAdapter{Service: "chat", Adapter: deployment.Adapter{Model: "base", Name: "a1"}}
)

// follower is the state of an instance that has just received a view of the planner of term 4.
func follower(change func(*forecast.Planner)) forecast.Planner {
	planner := forecast.Planner{OrderWindow: window, ViewTerm: 4, RecordTerm: 4, ResignedTerm: 1}
	if change != nil {
		change(&planner)
	}
	return planner
}

func TestOrdersRequiresRecentViewAndConfirmation(t *testing.T) {
	const silence = 900 * time.Millisecond
	cases := map[string]struct {
		age, confirmed time.Duration
		orders         bool
	}{
		"view just received":                         {0, 0, true},
		"just below the silence limit":               {silence - step, 0, true},
		"at the silence limit":                       {silence, 0, false},
		"just above the silence limit":               {silence + step, 0, false},
		"confirmation just within the order window":  {100 * time.Millisecond, window - 100*time.Millisecond - step, true},
		"confirmation at the order window":           {100 * time.Millisecond, window - 100*time.Millisecond, false},
		"confirmation just outside the order window": {100 * time.Millisecond, window - 100*time.Millisecond + step, false},
		"recent view, never confirmed":               {step, time.Hour, false},
		"no view ever received":                      {time.Duration(1 << 62), 0, false},
		"sum of both ages within the order window":   {600 * time.Millisecond, 699 * time.Millisecond, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			planner := follower(func(p *forecast.Planner) { p.ViewAge, p.ConfirmedAge = test.age, test.confirmed })
			assert.Equal(t, test.orders, planner.CanOrder())
		})
	}
}

func TestOrdersOfHolderDependsOnOwnLease(t *testing.T) {
	assert.True(t, forecast.Planner{HoldsLease: true, MayOrder: true}.CanOrder())
	assert.False(t, forecast.Planner{HoldsLease: true}.CanOrder(), "the former holder may still issue orders")
	assert.False(t, forecast.Planner{ReleasingLease: true, MayOrder: true}.CanOrder(), "the holder is releasing the lease")
}

func TestExpect(t *testing.T) {
	orders := follower(nil)
	silent := func(change func(*forecast.Planner)) forecast.Planner {
		return follower(func(p *forecast.Planner) {
			p.ViewAge = 2 * time.Second
			if change != nil {
				change(p)
			}
		})
	}
	cases := map[string]struct {
		planner forecast.Planner
		load    forecast.Load
		after   time.Duration
		reason  forecast.Reason
	}{
		"load under way": {orders, forecast.Load{Announced: true, At: now.Add(time.Second)}, time.Second, forecast.UnderWay},
		"load ends now":  {orders, forecast.Load{Announced: true, At: now}, 0, forecast.UnderWay},
		"load overdue": {
			orders, forecast.Load{Announced: true, At: now.Add(-step)}, 50 * time.Millisecond, forecast.Late,
		},
		"load not started":           {orders, forecast.Load{Backlog: 3 * time.Second}, 3 * time.Second, forecast.Queued},
		"unknown service":            {orders, forecast.Load{}, 0, forecast.Queued},
		"announced load and backlog": {orders, forecast.Load{Announced: true, At: now.Add(time.Second), Backlog: time.Minute}, time.Second, forecast.UnderWay},
		"load at one software":       {orders, forecast.Load{Backlog: 3 * time.Second, BySoftware: true}, 3 * time.Second, forecast.QueuedBySoftware},
		"announced load at any software": {
			orders, forecast.Load{Announced: true, At: now.Add(time.Second), Backlog: time.Minute, BySoftware: true}, time.Minute, forecast.QueuedBySoftware,
		},
		"load at one software, silent planner": {silent(nil), forecast.Load{BySoftware: true}, 2500 * time.Millisecond, forecast.LostPlanner},
		"no planner ever known":                {forecast.Planner{OrderWindow: window, ViewAge: time.Hour}, forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"silent planner":                       {silent(nil), forecast.Load{}, 2500 * time.Millisecond, forecast.LostPlanner},
		"record of a later term":               {silent(func(p *forecast.Planner) { p.RecordTerm = 5 }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"record of an earlier term":            {silent(func(p *forecast.Planner) { p.RecordTerm = 3 }), forecast.Load{}, 2500 * time.Millisecond, forecast.LostPlanner},
		"resigned planner":                     {silent(func(p *forecast.Planner) { p.ResignedTerm = 4 }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"released record":                      {silent(func(p *forecast.Planner) { p.RecordReleased = true }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"forecast of a lost planner":           {silent(nil), forecast.Load{Announced: true, At: now.Add(time.Second)}, 2500 * time.Millisecond, forecast.LostPlanner},
		"holder waits for the former holder": {
			forecast.Planner{HoldsLease: true, FormerHolderTime: time.Second}, forecast.Load{}, 1400 * time.Millisecond, forecast.FormerHolder,
		},
		"holder after the wait, record not written yet": {
			forecast.Planner{HoldsLease: true}, forecast.Load{}, 400 * time.Millisecond, forecast.FormerHolder,
		},
		"store failing just below the limit": {
			silent(func(p *forecast.Planner) { p.StoreSilent, p.ResignedTerm = 600*time.Millisecond-1, 4 }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner,
		},
		"store failing for the limit": {
			silent(func(p *forecast.Planner) { p.StoreSilent, p.ResignedTerm = 600*time.Millisecond, 4 }), forecast.Load{}, 2500 * time.Millisecond, forecast.LostStore,
		},
		"store failing the holder": {
			forecast.Planner{HoldsLease: true, StoreSilent: time.Second}, forecast.Load{}, 2500 * time.Millisecond, forecast.LostStore,
		},
		"store failing, planner may issue orders": {
			follower(func(p *forecast.Planner) { p.StoreSilent = time.Hour }), forecast.Load{Announced: true, At: now.Add(time.Second)}, time.Second, forecast.UnderWay,
		},
		"holder releasing the lease": {
			follower(func(p *forecast.Planner) { p.ReleasingLease, p.MayOrder = true, true }), forecast.Load{}, 2500 * time.Millisecond, forecast.LostPlanner,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			expected := forecast.Expect(now, test.planner, test.load)
			assert.Equal(t, test.after, expected.At.Sub(now))
			assert.Equal(t, test.reason, expected.Reason)
		})
	}
}

func TestResetReplacesForecasts(t *testing.T) {
	announcements := forecast.NewAnnouncements()
	assert.Equal(t, forecast.Load{}, announcements.Load(key))
	announcements.Set(key, now)
	announcements.Set(key, now.Add(time.Second))
	assert.Equal(t, forecast.Load{Announced: true, At: now.Add(time.Second)}, announcements.Load(key), "the later time counts")
	announcements.Reset(map[string]time.Duration{"chat": time.Minute})
	assert.Equal(t, forecast.Load{Backlog: time.Minute}, announcements.Load(key), "a load that is no longer listed is removed")
	announcements.Reset(nil)
	assert.Equal(t, forecast.Load{}, announcements.Load(key))
}

func TestOnlyLoadAtOneSoftwareMayComeSooner(t *testing.T) {
	for reason := forecast.UnderWay; reason <= forecast.LostStore; reason++ {
		assert.Equal(t, reason == forecast.QueuedBySoftware, reason.MayComeSooner(), "reason %d", reason)
	}
}

func TestNoActivePlanner(t *testing.T) {
	for reason, expected := range map[forecast.Reason]bool{
		forecast.UnderWay: false, forecast.Queued: false, forecast.QueuedBySoftware: false, forecast.Late: false, forecast.FormerHolder: false, forecast.NewPlanner: false,
		forecast.LostPlanner: true, forecast.LostStore: true,
	} {
		assert.Equal(t, expected, reason.NoActivePlanner(), "reason %d", reason)
	}
}
