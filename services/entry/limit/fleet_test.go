// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

const (
	step           = 25 * time.Millisecond
	reportInterval = 10
	endpoint       = deployment.EndpointID("e")
	// window is the period in which requests are counted.
	window = 4 * time.Second
)

// simulatedFleet is a number of instances that send to one endpoint, and a planner that allocates the endpoint's limit.
type simulatedFleet struct {
	random    *rand.Rand
	allocator *limit.Allocator
	members   []*limit.Allowance
	// demand is the number of requests that each instance would send in a step.
	demand []float64
	// blocked is the number of requests that could not be sent since the last report of each instance.
	blocked []int
	// plannerReachable is set for the instances that receive grants of the planner.
	plannerReachable []bool
	rate             float64
	sent             []time.Time
}

func newSimulatedFleet(seed uint64, members int, rate float64) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 7)), allocator: limit.NewAllocator(), rate: rate}
	for range members {
		allowance := &limit.Allowance{}
		allowance.ObserveResponse(start, start, new(rate))
		f.members = append(f.members, allowance)
		f.demand, f.blocked = append(f.demand, 0), append(f.blocked, 0)
		f.plannerReachable = append(f.plannerReachable, true)
	}
	return f
}

func instanceName(member int) string {
	return fmt.Sprint("instance-", member)
}

// run lets the instances send, report and receive grants for a number of steps.
func (f *simulatedFleet) run(from time.Time, steps int) time.Time {
	now := from
	for count := range steps {
		now = now.Add(step)
		for i, allowance := range f.members {
			allowance.SetAllocated(f.plannerReachable[i], 0)
			allowance.Refresh(now, limit.Fleet{PlannerReachable: f.plannerReachable[i], Members: len(f.members), Random: f.random.Float64()})
			f.send(now, i)
			if f.plannerReachable[i] && count%reportInterval == i%reportInterval {
				f.allocator.SetDemand(now, instanceName(i), []limit.Demand{{Endpoint: endpoint, Waiting: f.blocked[i]}})
				f.blocked[i] = 0
			}
		}
		for _, grant := range f.allocator.Allocate(now, endpoint, f.rate) {
			for i, allowance := range f.members {
				if grant.Instance == instanceName(i) && f.plannerReachable[i] {
					allowance.Grant(now, grant.Count)
				}
			}
		}
	}
	return now
}

// send sends the requests of an instance in a step, as far as they are allowed.
func (f *simulatedFleet) send(now time.Time, i int) {
	for wanted := f.demand[i]; wanted >= 1 || f.random.Float64() < wanted; wanted-- {
		if !f.members[i].Admits(now) {
			f.blocked[i]++
			continue
		}
		f.members[i].Consume(now)
		f.sent = append(f.sent, now)
	}
}

// maxInWindow returns the maximum number of requests within any window.
func (f *simulatedFleet) maxInWindow() int {
	maxInWindow, first := 0, 0
	for last, at := range f.sent {
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		maxInWindow = max(maxInWindow, last-first+1)
	}
	return maxInWindow
}

// maxAllowed returns the number of requests that the users' platform allows in a window.
func maxAllowed(rate float64) int {
	return int(1.5*rate*window.Seconds() + 5)
}

func TestFleetStaysWithinLimit(t *testing.T) {
	for _, members := range []int{1, 6, 66, 320} {
		for _, rate := range []float64{0.2, 1.3, 10, 200} {
			for seed := range uint64(5) {
				f := newSimulatedFleet(seed, members, rate)
				now := start
				for range 12 {
					for i := range f.members {
						f.demand[i] = f.random.Float64() * 4 * rate * step.Seconds()
						f.plannerReachable[i] = f.random.IntN(10) > 0
					}
					now = f.run(now, 40)
				}
				assert.LessOrEqual(t, f.maxInWindow(), maxAllowed(rate), "%d instances, %g a second, seed %d", members, rate, seed)
			}
		}
	}
}

func TestFleetWithoutPlannerStaysWithinLimit(t *testing.T) {
	for _, members := range []int{6, 66, 320} {
		for _, rate := range []float64{1.3, 10, 200} {
			f := newSimulatedFleet(1, members, rate)
			for i := range f.members {
				f.plannerReachable[i], f.demand[i] = false, 1
			}
			f.run(start, 400)
			assert.LessOrEqual(t, f.maxInWindow(), maxAllowed(rate), "%d instances, %g a second", members, rate)
		}
	}
}

func TestSingleBusyInstanceGetsMostOfLimit(t *testing.T) {
	for _, rate := range []float64{1.3, 10, 200} {
		f := newSimulatedFleet(1, 320, rate)
		f.demand[7] = 2 * rate * step.Seconds()
		f.run(start, 1600)
		assert.GreaterOrEqual(t, float64(len(f.sent)), 0.5*rate*(1600*step).Seconds(), "%g a second", rate)
	}
}

func TestUnusedGrantsExpire(t *testing.T) {
	var allowance limit.Allowance
	allowance.ObserveResponse(start, start, new(1.0))
	allowance.Grant(start, 2)
	assert.True(t, allowance.Admits(at(999)))
	assert.False(t, allowance.Admits(at(1000)))
}

func TestWaitingInstanceIsGrantedFirst(t *testing.T) {
	allocator := limit.NewAllocator()
	idle, busy := []limit.Demand{{Endpoint: endpoint}}, []limit.Demand{{Endpoint: endpoint, Waiting: 2}}
	toIdle := []limit.Grant{{Endpoint: endpoint, Instance: "idle", Count: 1}}
	toBusy := []limit.Grant{{Endpoint: endpoint, Instance: "busy", Count: 1}}
	assert.Empty(t, allocator.Allocate(start, endpoint, 1), "the requests sent before the limit was reported are unknown")
	allocator.SetDemand(at(900), "idle", idle)
	allocator.SetDemand(at(900), "busy", busy)
	assert.Equal(t, toBusy, allocator.Allocate(at(1000), endpoint, 1))
	assert.Equal(t, 1, allocator.Waiting(at(1000), endpoint))
	assert.Empty(t, allocator.Allocate(at(2000), endpoint, 1), "an instance with waiting requests may still report")
	assert.Empty(t, allocator.Allocate(at(2499), endpoint, 1))
	assert.Equal(t, toIdle, allocator.Allocate(at(2500), endpoint, 1))
	allocator.SetDemand(at(3000), "busy", busy)
	assert.Equal(t, toBusy, allocator.Allocate(at(4000-1), endpoint, 1))
	assert.Empty(t, allocator.Allocate(at(9000), endpoint, 1), "no demand left")
}

func TestLostInstanceGetsNoGrants(t *testing.T) {
	allocator := limit.NewAllocator()
	allocator.Allocate(start, endpoint, 1)
	allocator.SetDemand(at(1000), "lost", []limit.Demand{{Endpoint: endpoint, Waiting: 1}})
	allocator.Retain(func(deployment.EndpointID) bool { return true }, func(instance string) bool { return instance != "lost" })
	assert.Empty(t, allocator.Allocate(at(1000), endpoint, 1))
	assert.Zero(t, allocator.Waiting(at(1000), endpoint))
}

func TestLargeLimitIsAllocatedByDemand(t *testing.T) {
	allocator := limit.NewAllocator()
	const rate = 1e9
	allocator.Allocate(start, endpoint, rate)
	allocator.SetDemand(at(10), "busy", []limit.Demand{{Endpoint: endpoint, Waiting: 3}})
	granted := 0
	for _, grant := range allocator.Allocate(at(10), endpoint, rate) {
		granted += grant.Count
	}
	assert.GreaterOrEqual(t, granted, 3)
	assert.LessOrEqual(t, granted, 4)
}
