// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	otherService = "code"
	// secondLoadDelay is the time between the starts of the two loads.
	secondLoadDelay = 5 * time.Millisecond
	// repetitions is the number of calls of NextPoll: the iteration order of a map changes from one call to the next.
	repetitions = 1000
)

// startLoad has one instance request an adapter and the endpoint of the service accept its load.
func (f *fixture) startLoad(t *testing.T, now time.Time, service string) {
	t.Helper()
	demand := wire.Demand{Service: service, Model: "base", Name: "a1", Waiting: 1, InTime: time.Second}
	f.plans.ApplyDemand(now, &wire.Report{Instance: "asks for " + service, Demands: []wire.Demand{demand}})
	var started []loading.Order
	f.plans.Order(now, func() bool { return true }, func(order loading.Order) { started = append(started, order) },
		func(deployment.ServiceAdapter, time.Duration) {})
	require.Len(t, started, 1)
	require.Equal(t, service, started[0].Endpoint.Service)
	f.plans.Done(now, loading.Result{Order: started[0], Reply: loading.Accepted, Took: time.Millisecond})
}

// TestNextPollIsEarliestOfAllServices starts a load in each of two services, one after the other. Whatever the iteration order of
// the services, the planner must wake for the end of the earlier load.
func TestNextPollIsEarliestOfAllServices(t *testing.T) {
	f := newFixture()
	f.directory.Put(deployment.Endpoint{
		ID: "e2", Service: otherService, Slots: 16, Models: []string{"base"}, CachedModels: []string{"base"}, Adapters: map[deployment.Adapter]int64{},
	}, 6)
	both := configuration("base")
	both.Services[otherService] = &deployment.Service{Name: otherService, Engine: both.Services[service].Engine}
	f.plans.SetConfiguration(start, both, maps.All(map[deployment.Adapter]int64{}))

	f.startLoad(t, start, service)
	earliest, found := f.plans.NextPoll(start, time.Hour)
	require.True(t, found)
	f.startLoad(t, start.Add(secondLoadDelay), otherService)
	late := 0
	for range repetitions {
		next, found := f.plans.NextPoll(start.Add(secondLoadDelay), time.Hour)
		require.True(t, found)
		require.False(t, next.Before(earliest))
		if next.After(earliest) {
			late++
		}
	}
	assert.Zero(t, late, "of %d calls", repetitions)
}
