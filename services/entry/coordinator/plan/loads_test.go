// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/plan"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const loadWindow = time.Second

// modelLoads counts the orders of base models' loads.
func (f *fixture) modelLoads() int {
	count := 0
	for _, order := range f.ordered {
		if order.Kind == loading.Load && !order.Poll && order.Adapter.IsZero() {
			count++
		}
	}
	return count
}

// addEmptyService adds a service whose one endpoint has never held its base model.
func (f *fixture) addEmptyService(now time.Time) {
	f.directory.Put(deployment.Endpoint{ID: "e2", Service: otherService, Slots: 16, Adapters: map[deployment.Adapter]int64{}}, 6)
	both := configuration("base")
	both.Services[otherService] = &deployment.Service{Name: otherService, Engine: both.Services[service].Engine}
	f.plans.SetConfiguration(now, both, maps.All(map[deployment.Adapter]int64{}))
}

func TestWhatFormerPlannersBeganCountsForAWindow(t *testing.T) {
	f := newFixture()
	assert.Zero(t, f.plans.RecentLoads(start))
	f.plans.Assume(plan.UnknownLoads(start))
	f.addEmptyService(start)
	f.order(start.Add(loadWindow - 1))
	assert.Zero(t, f.modelLoads())
	assert.NotZero(t, f.plans.RecentLoads(start.Add(loadWindow-1)), "it is passed on")
	assert.Zero(t, f.plans.RecentLoads(start.Add(loadWindow)))
	f.order(start.Add(loadWindow))
	assert.Equal(t, 1, f.modelLoads())
	assert.Equal(t, 1, f.plans.RecentLoads(start.Add(loadWindow)))
}

func TestAServiceThatIsAddedLaterCountsFormerLoadsNoMore(t *testing.T) {
	f := newFixture()
	f.plans.Assume(plan.UnknownLoads(start))
	f.addEmptyService(start.Add(loadWindow))
	f.order(start.Add(loadWindow))
	assert.Equal(t, 1, f.modelLoads())
}

func TestABetterWordOfFormerLoadsReplacesTheLast(t *testing.T) {
	f := newFixture()
	f.addEmptyService(start)
	f.plans.Assume(plan.UnknownLoads(start))
	f.order(start)
	assert.Zero(t, f.modelLoads())
	f.plans.Assume(plan.AssumedLoads{Count: 2, At: start})
	f.order(start)
	assert.Equal(t, 1, f.modelLoads())
	assert.Equal(t, 3, f.plans.RecentLoads(start), "the own one and those of before")
}

func TestABaseModelsLoadIsAChange(t *testing.T) {
	f := newFixture()
	f.addEmptyService(start)
	f.plans.Sent()
	f.order(start)
	assert.True(t, f.plans.Changes().ModelBegun)
	assert.False(t, f.plans.Changes().Empty())
	f.plans.Sent()
	assert.False(t, f.plans.Changes().ModelBegun)
}

// TestLoadsOfAPlanThatEndsCountForAWindow is a service that loses its engine and gets it back within the window.
func TestLoadsOfAPlanThatEndsCountForAWindow(t *testing.T) {
	f := newFixture()
	f.addEmptyService(start)
	f.order(start)
	assert.Equal(t, 1, f.modelLoads())
	without := configuration("base")
	f.plans.SetConfiguration(start, without, maps.All(map[deployment.Adapter]int64{}))
	assert.Equal(t, 1, f.plans.RecentLoads(start.Add(loadWindow/2)), "the service is gone, its load is not")
	f.addEmptyService(start.Add(loadWindow / 2))
	assert.Equal(t, 1, f.plans.RecentLoads(start.Add(loadWindow/2)))
	assert.Zero(t, f.plans.RecentLoads(start.Add(loadWindow)))
}
