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
