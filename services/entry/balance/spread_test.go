// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// simulation is a fleet of many instances that send requests for one adapter, each of which takes requestDuration.
type simulation struct {
	copies int
	// perSecond is the number of requests per second of all instances together.
	perSecond int
	// countInterval is how often the counts of all requests in flight are renewed, for all instances at once.
	countInterval time.Duration
	// ignoresAge is set if the instances do not consider the age of the counts.
	ignoresAge bool
}

const requestDuration = time.Second

// run returns the maximum number of requests in flight at an endpoint, averaged over time, divided by the average over all endpoints.
func (s simulation) run(seed uint64) float64 {
	const (
		step  = 5 * time.Millisecond
		steps = 4000
	)
	random := rand.New(rand.NewPCG(seed, 3))
	randomOptions := balance.Options{Hall: "near", Random: random.Float64}
	endpoints := make([]*directory.EndpointStatus, s.copies)
	d := directory.New()
	for i := range endpoints {
		id := string(rune('a' + i))
		d.Put(deployment.Endpoint{ID: deployment.EndpointID(id), Service: "service", Hall: "near", Models: []string{"base"}, Adapters: map[deployment.Adapter]int64{adapter: 1}}, 1)
		endpoints[i] = d.Endpoint(deployment.EndpointID(id))
	}
	running := make(map[deployment.EndpointID]int)
	ends := make([][]deployment.EndpointID, steps+int(requestDuration/step)+1)
	var renewed, maxSum, meanSum float64
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}, MeanInFlightTime: requestDuration}
	for at := range steps {
		now := time.Duration(at) * step
		for _, id := range ends[at] {
			running[id]--
		}
		if now.Seconds()-renewed >= s.countInterval.Seconds() {
			renewed = now.Seconds()
			for _, endpoint := range endpoints {
				endpoint.OthersRequests = running[endpoint.ID]
			}
		}
		if random.Float64() < float64(s.perSecond)*step.Seconds() {
			if !s.ignoresAge {
				required.OthersAge = now - time.Duration(renewed*float64(time.Second))
			}
			chosen, _ := balance.Choose(start.Add(now), endpoints, required, randomOptions)
			running[chosen.ID]++
			ends[at+int(requestDuration/step)] = append(ends[at+int(requestDuration/step)], chosen.ID)
		}
		most, sum := 0, 0
		for _, count := range running {
			most, sum = max(most, count), sum+count
		}
		maxSum += float64(most)
		meanSum += float64(sum) / float64(s.copies)
	}
	return maxSum / meanSum
}

// TestChooseSpreadsLoadWithOldCounts guards against all instances sending their requests to the endpoint that had the fewest requests
// when the counts were taken. It simulates a fleet whose instances have at most one request in flight each, so that their own counts
// carry no information. Callers waited at an overloaded endpoint while another copy was idle.
func TestChooseSpreadsLoadWithOldCounts(t *testing.T) {
	for name, test := range map[string]struct {
		simulation simulation
		withoutAge float64
		maxWithAge float64
	}{
		"two copies, 3 s":    {simulation{copies: 2, perSecond: 40, countInterval: 3 * time.Second}, 1.6, 1.35},
		"two copies, 0.4 s":  {simulation{copies: 2, perSecond: 40, countInterval: 400 * time.Millisecond}, 1.2, 1.2},
		"five copies, 3 s":   {simulation{copies: 5, perSecond: 100, countInterval: 3 * time.Second}, 2.6, 1.6},
		"five copies, 0.4 s": {simulation{copies: 5, perSecond: 100, countInterval: 400 * time.Millisecond}, 1.7, 1.55},
	} {
		t.Run(name, func(t *testing.T) {
			ignoresAge := test.simulation
			ignoresAge.ignoresAge = true
			withoutAge, withAge := ignoresAge.run(1), test.simulation.run(1)
			t.Logf("busiest over mean: %.2f by the minimum count, %.2f considering the age", withoutAge, withAge)
			assert.Greater(t, withoutAge, test.withoutAge)
			assert.Less(t, withAge, test.maxWithAge)
		})
	}
}

// TestChooseFollowsCurrentCounts checks that the endpoint with the fewest requests is chosen if the counts are renewed with each
// request.
func TestChooseFollowsCurrentCounts(t *testing.T) {
	current := simulation{copies: 4, perSecond: 40, countInterval: 5 * time.Millisecond}
	assert.Less(t, current.run(1), 1.12)
}
