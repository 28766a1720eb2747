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

// modelLoads returns the number of ordered base-model loads.
func (f *fixture) modelLoads() int {
	count := 0
	for _, order := range f.ordered {
		if order.Kind == loading.Load && !order.Poll && order.Adapter.IsZero() {
			count++
		}
	}
	return count
}

// addEmptyService adds a service whose only endpoint does not hold its base model.
func (f *fixture) addEmptyService(now time.Time) {
	f.directory.Put(deployment.Endpoint{ID: "e2", Service: otherService, Slots: 16, Adapters: map[deployment.Adapter]int64{}}, 6)
	both := configuration("base")
	both.Services[otherService] = &deployment.Service{Name: otherService, Engine: both.Services[service].Engine}
	f.plans.SetConfiguration(now, both, maps.All(map[deployment.Adapter]int64{}))
}

func TestAssumedLoadsCountForOneWindow(t *testing.T) {
	f := newFixture()
	assert.Zero(t, f.plans.RecentLoads(start))
	f.plans.SetAssumedLoads(plan.UnknownLoads(start))
	f.addEmptyService(start)
	f.order(start.Add(loadWindow - 1))
	assert.Zero(t, f.modelLoads())
	assert.NotZero(t, f.plans.RecentLoads(start.Add(loadWindow-1)), "assumed loads are included in the count for the next planner")
	assert.Zero(t, f.plans.RecentLoads(start.Add(loadWindow)))
	f.order(start.Add(loadWindow))
	assert.Equal(t, 1, f.modelLoads())
	assert.Equal(t, 1, f.plans.RecentLoads(start.Add(loadWindow)))
}

func TestServiceAddedAfterWindowIgnoresAssumedLoads(t *testing.T) {
	f := newFixture()
	f.plans.SetAssumedLoads(plan.UnknownLoads(start))
	f.addEmptyService(start.Add(loadWindow))
	f.order(start.Add(loadWindow))
	assert.Equal(t, 1, f.modelLoads())
}

func TestAssumeReplacesEarlierAssumption(t *testing.T) {
	f := newFixture()
	f.addEmptyService(start)
	f.plans.SetAssumedLoads(plan.UnknownLoads(start))
	f.order(start)
	assert.Zero(t, f.modelLoads())
	f.plans.SetAssumedLoads(plan.AssumedLoads{Count: 2, At: start})
	f.order(start)
	assert.Equal(t, 1, f.modelLoads())
	assert.Equal(t, 3, f.plans.RecentLoads(start), "the own load and the two assumed ones")
}

func TestBaseModelLoadIsChange(t *testing.T) {
	f := newFixture()
	f.addEmptyService(start)
	f.plans.MarkSent()
	f.order(start)
	assert.True(t, f.plans.Changes().BaseModelLoadStarted)
	assert.False(t, f.plans.Changes().Empty())
	f.plans.MarkSent()
	assert.False(t, f.plans.Changes().BaseModelLoadStarted)
}

// TestLoadsOfEndedPlanCountForOneWindow removes the engine of a service and restores it within the window.
func TestLoadsOfEndedPlanCountForOneWindow(t *testing.T) {
	f := newFixture()
	f.addEmptyService(start)
	f.order(start)
	assert.Equal(t, 1, f.modelLoads())
	without := configuration("base")
	f.plans.SetConfiguration(start, without, maps.All(map[deployment.Adapter]int64{}))
	assert.Equal(t, 1, f.plans.RecentLoads(start.Add(loadWindow/2)), "the load of the removed service still counts")
	f.addEmptyService(start.Add(loadWindow / 2))
	assert.Equal(t, 1, f.plans.RecentLoads(start.Add(loadWindow/2)))
	assert.Zero(t, f.plans.RecentLoads(start.Add(loadWindow)))
}
