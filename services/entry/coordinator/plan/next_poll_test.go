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
	// laterBy is how much later the second service's load begins.
	laterBy = 5 * time.Millisecond
	// askedTimes is how often the next poll is asked for: the order of a map changes from one time to the next.
	askedTimes = 1000
)

// beginLoad lets a service's endpoint take the load of an adapter that one instance asks for.
func (f *fixture) beginLoad(t *testing.T, now time.Time, service string) {
	t.Helper()
	demand := wire.Demand{Service: service, Model: "base", Name: "a1", Waiting: 1, InTime: time.Second}
	f.plans.TakeDemand(now, &wire.Report{Instance: "asks for " + service, Demands: []wire.Demand{demand}})
	var started []loading.Order
	f.plans.Order(now, func() bool { return true }, func(order loading.Order) { started = append(started, order) },
		func(deployment.ServiceAdapter, time.Duration) {})
	require.Len(t, started, 1)
	require.Equal(t, service, started[0].Endpoint.Service)
	f.plans.Done(now, loading.Result{Order: started[0], Reply: loading.Accepted, Took: time.Millisecond})
}

// TestTheNextPollIsTheEarliestOfAllServices begins two loads of two services, one after the other: whichever service the map
// names first, the planner has to wake for the end of the earlier one.
func TestTheNextPollIsTheEarliestOfAllServices(t *testing.T) {
	f := newFixture()
	f.directory.Put(deployment.Endpoint{
		ID: "e2", Service: otherService, Slots: 16, Models: []string{"base"}, CachedModels: []string{"base"}, Adapters: map[deployment.Adapter]int64{},
	}, 6)
	both := configuration("base")
	both.Services[otherService] = &deployment.Service{Name: otherService, Engine: both.Services[service].Engine}
	f.plans.SetConfiguration(start, both, maps.All(map[deployment.Adapter]int64{}))

	f.beginLoad(t, start, service)
	earliest, found := f.plans.NextPoll(start, time.Hour)
	require.True(t, found)
	f.beginLoad(t, start.Add(laterBy), otherService)
	late := 0
	for range askedTimes {
		next, found := f.plans.NextPoll(start.Add(laterBy), time.Hour)
		require.True(t, found)
		require.False(t, next.Before(earliest))
		if next.After(earliest) {
			late++
		}
	}
	assert.Zero(t, late, "of %d answers", askedTimes)
}
