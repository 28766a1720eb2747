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

// TestDemandForOneSoftwareIsLoadedThereWhileEndpointTakesIt checks that the endpoint of the software gets the copy although it is too busy for others,
// as long as it has a slot for a request that only this software may run.
func TestDemandForOneSoftwareIsLoadedThereWhileEndpointTakesIt(t *testing.T) {
	for load, expected := range map[int][]deployment.Adapter{15: {adapter}, 16: nil} {
		f := newFixture()
		busy := f.directory.Endpoint("e1").Endpoint
		busy.Software = "v1"
		f.directory.Put(busy, 6)
		f.directory.Endpoint("e1").OthersRequests = load
		f.plans.SetEndpoint(start, busy, 6)
		f.plans.Review(start, silence)
		f.plans.ApplyDemand(start, &wire.Report{Instance: "a", Pinned: []wire.PinnedDemand{
			{Service: service, Model: "base", Name: "a1", Software: "v2", Waiting: 1, InTime: time.Second},
		}})
		f.order(start)
		assert.Empty(t, f.loads(), "no endpoint of this software")

		f.plans.ApplyDemand(start, &wire.Report{Instance: "a", Pinned: []wire.PinnedDemand{
			{Service: service, Model: "base", Name: "a1", Software: "v1", Waiting: 1, InTime: time.Second},
		}})
		f.order(start.Add(time.Second))
		assert.Equal(t, expected, f.loads(), "%d requests in flight", load)
	}
}
