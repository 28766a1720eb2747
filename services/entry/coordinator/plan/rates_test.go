// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// rates is a first report over a link: it tells a rate that alone is not worth a load, and twice is.
func rates(instance string) *wire.Report {
	return &wire.Report{Instance: instance, Rates: []wire.Rate{{Service: service, Model: "base", Name: "a1", PerSecond: 0.04}}}
}

// link takes the first report over a new link of a member.
func (f *fixture) link(now time.Time, instance string) {
	f.members.Join(instance, nil)
	f.plans.TakeMember(now, rates(instance))
	f.plans.TakeDemand(now, rates(instance))
	f.order(now)
}

func TestAMemberThatLinksAgainTellsNoNewRates(t *testing.T) {
	f := newFixture()
	now := start
	for range 10 {
		f.link(now, "a")
		now = now.Add(pause)
	}
	assert.Empty(t, f.loads())
	f.link(now, "b")
	assert.Equal(t, []deployment.Adapter{adapter}, f.loads(), "another member's rate adds to it")
}

func TestAMemberThatWasForgottenTellsItsRatesAnew(t *testing.T) {
	f := newFixture()
	f.link(start, "a")
	gone := start.Add(time.Minute)
	f.plans.Review(gone, silence)
	f.plans.Review(gone.Add(time.Minute), silence)
	f.plans.Sweep(gone.Add(time.Minute))
	f.link(gone.Add(time.Minute), "b")
	assert.Empty(t, f.loads(), "its rate has gone")
	f.link(gone.Add(time.Minute).Add(pause), "a")
	assert.Len(t, f.loads(), 1)
}
