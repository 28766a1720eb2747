// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// loseEndpointDuringLoad adds an endpoint, which terminates while it loads adapter 1. It returns false if the planner
// orders no load.
func loseEndpointDuringLoad(p *loading.Planner, now time.Time, number int, reply loading.Reply) bool {
	id := deployment.EndpointID(fmt.Sprint("e", number))
	p.SetEndpoint(now, described(string(id)), nextRevision(), false)
	p.Report(now, "i", waitingDemand(adapter(1)))
	next, ok := p.Next(now)
	if !ok || next.Kind != loading.Load {
		return false
	}
	p.Done(now, resultOf(next, reply))
	p.RemoveEndpoint(id)
	p.Sweep(now)
	return true
}

// TestLoadHeldBackAfterEndpointLosses: an adapter whose load terminates the endpoint was loaded on one endpoint after
// another.
func TestLoadHeldBackAfterEndpointLosses(t *testing.T) {
	for name, reply := range map[string]loading.Reply{"after accepting the order": loading.Accepted, "before answering the order": loading.Unanswered} {
		t.Run(name, func(t *testing.T) {
			p, now := newPlanner(1), start
			for number := range 3 {
				assert.True(t, loseEndpointDuringLoad(p, now, number, reply))
				now = now.Add(4 * time.Second)
			}
			assert.False(t, loseEndpointDuringLoad(p, now, 3, reply), "three endpoints were lost")
			p.RemoveEndpoint("e3")
			now = now.Add(time.Second)
			p.SetVersion(now, adapter(1), 7)
			assert.True(t, loseEndpointDuringLoad(p, now, 4, reply), "another version may load successfully")
			assert.True(t, loseEndpointDuringLoad(p, now.Add(4*time.Second), 5, reply))
			assert.True(t, loseEndpointDuringLoad(p, now.Add(8*time.Second), 6, reply))
			now = now.Add(8 * time.Second)
			assert.False(t, loseEndpointDuringLoad(p, now.Add(5*time.Minute-1), 7, reply))
			p.RemoveEndpoint("e7")
			assert.True(t, loseEndpointDuringLoad(p, now.Add(5*time.Minute+time.Second), 8, reply), "one load tests whether an endpoint survives it")
		})
	}
}

func TestSimultaneousEndpointLossesDoNotHoldBackLoad(t *testing.T) {
	p, now := newPlanner(1), start
	for round := range 3 {
		for number := range 3 {
			p.SetEndpoint(now, described(fmt.Sprint("e", round, number)), nextRevision(), false)
		}
		p.Report(now, "i", waitingDemand(adapter(1)))
		if next, ok := p.Next(now); ok {
			p.Done(now, resultOf(next, loading.Accepted))
		}
		for number := range 3 {
			p.RemoveEndpoint(deployment.EndpointID(fmt.Sprint("e", round, number)))
		}
		p.Sweep(now)
		now = now.Add(4 * time.Second)
	}
	assert.True(t, loseEndpointDuringLoad(p, now, 9, loading.Accepted))
}

// loseEndpointsDuringLoads adds endpoints that all terminate at once while they load adapter 1, and returns how many of them did.
func loseEndpointsDuringLoads(p *loading.Planner, now time.Time, round, count int) int {
	for number := range count {
		p.SetEndpoint(now, described(fmt.Sprint("e", round, number)), nextRevision(), false)
	}
	p.Report(now, "i", []loading.Demand{{Adapter: adapter(1), Waiting: 100, InTime: time.Second, Arrivals: 100}})
	loads := 0
	for {
		next, ok := p.Next(now)
		if !ok || next.Kind != loading.Load {
			break
		}
		loads++
		p.Done(now, resultOf(next, loading.Accepted))
	}
	for number := range count {
		p.RemoveEndpoint(deployment.EndpointID(fmt.Sprint("e", round, number)))
	}
	p.Sweep(now)
	return loads
}

// TestLoadHeldBackAfterSimultaneousLosses guards against a version whose loads terminate endpoints and that is loaded at several of them at
// once: their losses counted as a common cause, each time.
func TestLoadHeldBackAfterSimultaneousLosses(t *testing.T) {
	p := newPlanner(1)
	assert.GreaterOrEqual(t, loseEndpointsDuringLoads(p, start, 0, 3), 3)
	assert.Positive(t, loseEndpointsDuringLoads(p, start.Add(4*time.Second), 1, 1), "a rack may have been lost")
	assert.Zero(t, loseEndpointsDuringLoads(p, start.Add(8*time.Second), 2, 3))
}

// TestLossOfRackDoesNotHoldBackLoadedVersion: a version that another endpoint holds does not terminate endpoints.
func TestLossOfRackDoesNotHoldBackLoadedVersion(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("sound", adapter(1)), nextRevision(), false)
	answerInspection(t, p, start, &loading.Report{Adapters: described("", adapter(1)).Adapters})
	for round := range 3 {
		assert.Positive(t, loseEndpointsDuringLoads(p, start.Add(time.Duration(round)*4*time.Second), round, 3), "round %d", round)
	}
}
