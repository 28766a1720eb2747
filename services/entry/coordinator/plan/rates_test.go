// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// ratesReport is a first report over a link. Its rate counted once ranks a late request below a request that can still be answered
// in time, and counted twice above it.
func ratesReport(instance string) *wire.Report {
	return &wire.Report{Instance: instance, Rates: []wire.Rate{{Service: service, Model: "base", Name: "a1", PerSecond: 0.04}}}
}

// connect applies the first report of a member over a new link.
func (f *fixture) connect(now time.Time, instance string) {
	f.members.Join(instance, nil)
	f.plans.ApplyMemberReport(now, ratesReport(instance))
	f.plans.ApplyDemand(now, ratesReport(instance))
	f.order(now)
}

// firstLoad returns the adapter that is loaded first when a late request waits for the adapter with a rate, and a request that can
// still be answered in time for another adapter.
func (f *fixture) firstLoad(now time.Time) string {
	f.plans.ApplyDemand(now, &wire.Report{Instance: "caller", Demands: []wire.Demand{
		{Service: service, Model: "base", Name: "a1", Waiting: 1, InTime: -time.Second},
		{Service: service, Model: "base", Name: "a2", Waiting: 1, InTime: time.Second},
	}})
	f.order(now)
	return f.loads()[0].Name
}

func TestRatesOfReconnectedMemberCountOnce(t *testing.T) {
	f := newFixture()
	now := start
	for range 10 {
		f.connect(now, "a")
		now = now.Add(pause)
	}
	assert.Equal(t, "a2", f.firstLoad(now), "the rate of a member counts once")

	f = newFixture()
	f.connect(start, "a")
	f.connect(start, "b")
	assert.Equal(t, "a1", f.firstLoad(start.Add(pause)), "another member's rate adds to it")
}

func TestRatesOfRemovedMemberCountAgain(t *testing.T) {
	firstLoadAfterRejoin := func(members ...string) string {
		f := newFixture()
		f.connect(start, "a")
		gone := start.Add(time.Minute)
		f.plans.Review(gone, silence)
		f.plans.Review(gone.Add(time.Minute), silence)
		f.plans.Sweep(gone.Add(time.Minute))
		for _, member := range members {
			f.connect(gone.Add(time.Minute), member)
		}
		return f.firstLoad(gone.Add(time.Minute).Add(pause))
	}
	assert.Equal(t, "a2", firstLoadAfterRejoin("b"), "the rate of the removed member no longer counts")
	assert.Equal(t, "a1", firstLoadAfterRejoin("b", "a"))
}
