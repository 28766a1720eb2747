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

// crowd is a fleet of many instances that send requests for one adapter, each of which stays for a second.
type crowd struct {
	copies int
	// perSecond are the requests of all instances together.
	perSecond int
	// age is how often the counts of all requests in flight are renewed, for all instances at once.
	age time.Duration
	// blind says that instances do not know how old the counts are.
	blind bool
}

const stay = time.Second

// play gives the mean over time of the most requests at one endpoint over the mean of all endpoints.
func (c crowd) play(seed uint64) float64 {
	const (
		step  = 5 * time.Millisecond
		steps = 4000
	)
	random := rand.New(rand.NewPCG(seed, 3))
	chance := balance.Options{Hall: "near", Random: random.Float64}
	endpoints := make([]*directory.EndpointStatus, c.copies)
	d := directory.New()
	for i := range endpoints {
		id := string(rune('a' + i))
		d.Put(deployment.Endpoint{ID: deployment.EndpointID(id), Service: "service", Hall: "near", Models: []string{"base"}, Adapters: map[deployment.Adapter]int64{adapter: 1}}, 1)
		endpoints[i] = d.Endpoint(deployment.EndpointID(id))
	}
	running := make(map[deployment.EndpointID]int)
	ends := make([][]deployment.EndpointID, steps+int(stay/step)+1)
	var renewed, busiest, all float64
	required := balance.Requirement{Request: &deployment.Request{Adapter: adapter}, Stay: stay}
	for at := range steps {
		now := time.Duration(at) * step
		for _, id := range ends[at] {
			running[id]--
		}
		if now.Seconds()-renewed >= c.age.Seconds() {
			renewed = now.Seconds()
			for _, endpoint := range endpoints {
				endpoint.OthersRequests = running[endpoint.ID]
			}
		}
		if random.Float64() < float64(c.perSecond)*step.Seconds() {
			if !c.blind {
				required.OthersAge = now - time.Duration(renewed*float64(time.Second))
			}
			chosen, _ := balance.Choose(start.Add(now), endpoints, required, chance)
			running[chosen.ID]++
			ends[at+int(stay/step)] = append(ends[at+int(stay/step)], chosen.ID)
		}
		most, sum := 0, 0
		for _, count := range running {
			most, sum = max(most, count), sum+count
		}
		busiest += float64(most)
		all += float64(sum) / float64(c.copies)
	}
	return busiest / all
}

// TestManyInstancesWithOldCountsDoNotCrowd plays the load of a fleet whose instances have one request in flight each, if any, so that
// their own counts say nothing: all of them sent what came within one age of the counts to the endpoint that had been the emptiest.
// Callers waited at a crowded endpoint while another copy was free.
func TestManyInstancesWithOldCountsDoNotCrowd(t *testing.T) {
	for name, test := range map[string]struct {
		crowd  crowd
		before float64
		most   float64
	}{
		"two copies, 3 s":    {crowd{copies: 2, perSecond: 40, age: 3 * time.Second}, 1.6, 1.35},
		"two copies, 0.4 s":  {crowd{copies: 2, perSecond: 40, age: 400 * time.Millisecond}, 1.2, 1.2},
		"five copies, 3 s":   {crowd{copies: 5, perSecond: 100, age: 3 * time.Second}, 2.6, 1.6},
		"five copies, 0.4 s": {crowd{copies: 5, perSecond: 100, age: 400 * time.Millisecond}, 1.7, 1.55},
	} {
		t.Run(name, func(t *testing.T) {
			blind := test.crowd
			blind.blind = true
			before, after := blind.play(1), test.crowd.play(1)
			t.Logf("busiest over mean: %.2f by the least of the counts, %.2f by their age", before, after)
			assert.Greater(t, before, test.before)
			assert.Less(t, after, test.most)
		})
	}
}

// TestCountsOfNowAreTakenAsTheyAre: with counts that are renewed with each request the emptiest endpoint takes it.
func TestCountsOfNowAreTakenAsTheyAre(t *testing.T) {
	young := crowd{copies: 4, perSecond: 40, age: 5 * time.Millisecond}
	assert.Less(t, young.play(1), 1.12)
}
