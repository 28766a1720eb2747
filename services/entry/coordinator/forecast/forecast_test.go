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

// follower is what an instance knows that heard the planner of term 4 just now.
func follower(change func(*forecast.Planner)) forecast.Planner {
	planner := forecast.Planner{OrderWindow: window, ViewTerm: 4, RecordTerm: 4, ResignedTerm: 1}
	if change != nil {
		change(&planner)
	}
	return planner
}

func TestAFollowerCountsOnAPlannerThatItHearsAndThatCanProveItsLease(t *testing.T) {
	const silence = 900 * time.Millisecond
	cases := map[string]struct {
		age, confirmed time.Duration
		orders         bool
	}{
		"just heard":                           {0, 0, true},
		"just below the silence":               {silence - step, 0, true},
		"at the silence":                       {silence, 0, false},
		"just above the silence":               {silence + step, 0, false},
		"confirmed just within the window":     {100 * time.Millisecond, window - 100*time.Millisecond - step, true},
		"confirmed at the window":              {100 * time.Millisecond, window - 100*time.Millisecond, false},
		"confirmed just out of the window":     {100 * time.Millisecond, window - 100*time.Millisecond + step, false},
		"heard a moment ago, never confirmed":  {step, time.Hour, false},
		"never heard, so silent since ever":    {time.Duration(1 << 62), 0, false},
		"both ages add up to less than window": {600 * time.Millisecond, 699 * time.Millisecond, true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			planner := follower(func(p *forecast.Planner) { p.ViewAge, p.ConfirmedAge = one.age, one.confirmed })
			assert.Equal(t, one.orders, planner.Orders())
		})
	}
}

func TestTheHolderCountsOnItsOwnLease(t *testing.T) {
	assert.True(t, forecast.Planner{Holds: true, MayOrder: true}.Orders())
	assert.False(t, forecast.Planner{Holds: true}.Orders(), "the former holder's time is not over")
	assert.False(t, forecast.Planner{GivingUp: true, MayOrder: true}.Orders(), "it gives the lease up")
}

func TestExpectedTimes(t *testing.T) {
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
		"a load that is under way": {orders, forecast.Load{Named: true, At: now.Add(time.Second)}, time.Second, forecast.UnderWay},
		"a load that ends now":     {orders, forecast.Load{Named: true, At: now}, 0, forecast.UnderWay},
		"a load that should have ended": {
			orders, forecast.Load{Named: true, At: now.Add(-step)}, 50 * time.Millisecond, forecast.Late,
		},
		"a load that nobody has begun":   {orders, forecast.Load{Backlog: 3 * time.Second}, 3 * time.Second, forecast.Queued},
		"nothing known of the service":   {orders, forecast.Load{}, 0, forecast.Queued},
		"a named load before a backlog":  {orders, forecast.Load{Named: true, At: now.Add(time.Second), Backlog: time.Minute}, time.Second, forecast.UnderWay},
		"no planner was ever heard":      {forecast.Planner{OrderWindow: window, ViewAge: time.Hour}, forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"a planner that fell silent":     {silent(nil), forecast.Load{}, 2500 * time.Millisecond, forecast.LostPlanner},
		"the record names a later term":  {silent(func(p *forecast.Planner) { p.RecordTerm = 5 }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"the record is of an older term": {silent(func(p *forecast.Planner) { p.RecordTerm = 3 }), forecast.Load{}, 2500 * time.Millisecond, forecast.LostPlanner},
		"the planner resigned":           {silent(func(p *forecast.Planner) { p.ResignedTerm = 4 }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"the record was released":        {silent(func(p *forecast.Planner) { p.RecordReleased = true }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner},
		"a forecast of a lost planner":   {silent(nil), forecast.Load{Named: true, At: now.Add(time.Second)}, 2500 * time.Millisecond, forecast.LostPlanner},
		"the holder waits": {
			forecast.Planner{Holds: true, FormerHolderTime: time.Second}, forecast.Load{}, 1400 * time.Millisecond, forecast.FormerHolder,
		},
		"the holder whose wait is over but whose record is not written yet": {
			forecast.Planner{Holds: true}, forecast.Load{}, 400 * time.Millisecond, forecast.FormerHolder,
		},
		"the store has failed for a moment": {
			silent(func(p *forecast.Planner) { p.StoreSilent, p.ResignedTerm = 600*time.Millisecond-1, 4 }), forecast.Load{}, 400 * time.Millisecond, forecast.NewPlanner,
		},
		"the store fails, so that nobody can become the planner": {
			silent(func(p *forecast.Planner) { p.StoreSilent, p.ResignedTerm = 600*time.Millisecond, 4 }), forecast.Load{}, 2500 * time.Millisecond, forecast.LostStore,
		},
		"the store fails a holder": {
			forecast.Planner{Holds: true, StoreSilent: time.Second}, forecast.Load{}, 2500 * time.Millisecond, forecast.LostStore,
		},
		"the store fails, but a planner that is heard may order": {
			follower(func(p *forecast.Planner) { p.StoreSilent = time.Hour }), forecast.Load{Named: true, At: now.Add(time.Second)}, time.Second, forecast.UnderWay,
		},
		"a holder that gives the lease up": {
			follower(func(p *forecast.Planner) { p.GivingUp, p.MayOrder = true, true }), forecast.Load{}, 2500 * time.Millisecond, forecast.LostPlanner,
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			expected := forecast.Expect(now, one.planner, one.load)
			assert.Equal(t, one.after, expected.At.Sub(now))
			assert.Equal(t, one.reason, expected.Reason)
		})
	}
}

func TestAHeartbeatReplacesWhatWasForecast(t *testing.T) {
	book := forecast.NewBook()
	assert.Equal(t, forecast.Load{}, book.Load(key))
	book.Note(key, now)
	book.Note(key, now.Add(time.Second))
	assert.Equal(t, forecast.Load{Named: true, At: now.Add(time.Second)}, book.Load(key), "the later word counts")
	book.Renew(map[string]time.Duration{"chat": time.Minute})
	assert.Equal(t, forecast.Load{Backlog: time.Minute}, book.Load(key), "a load that is no longer named is forgotten")
	book.Renew(nil)
	assert.Equal(t, forecast.Load{}, book.Load(key))
}

func TestWhenNobodyOrders(t *testing.T) {
	for reason, nobody := range map[forecast.Reason]bool{
		forecast.UnderWay: false, forecast.Queued: false, forecast.Late: false, forecast.FormerHolder: false, forecast.NewPlanner: false,
		forecast.LostPlanner: true, forecast.LostStore: true,
	} {
		assert.Equal(t, nobody, reason.NobodyOrders(), "reason %d", reason)
	}
}
