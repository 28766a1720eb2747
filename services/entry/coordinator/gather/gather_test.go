// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gather_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/gather"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	step = time.Microsecond
	life = 800 * time.Millisecond
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func newLoad(instance string, requests int) *wire.Load {
	load := &wire.Load{Instance: instance}
	if requests > 0 {
		load.InFlight = []wire.Count{{ID: "e", Requests: requests, Unread: 100 * requests}}
	}
	return load
}

func newSum(gatherer string, requests int, members ...string) *wire.Sum {
	return &wire.Sum{Gatherer: gatherer, Members: members, InFlight: []wire.Count{{ID: "e", Requests: requests, Unread: 100 * requests}}}
}

func totalRequests(s *wire.Sum) int {
	requests := 0
	for _, count := range s.InFlight {
		requests += count.Requests
	}
	return requests
}

func TestGroupSumsLastLoadOfEachMember(t *testing.T) {
	g := gather.NewGroup()
	assert.True(t, g.Empty())
	g.Put(start, newLoad("a", 2))
	g.Put(start, newLoad("b", 3))
	g.Put(start.Add(100*time.Millisecond), newLoad("a", 1))
	got := g.Sum(start.Add(200*time.Millisecond), "g")
	assert.Equal(t, &wire.Sum{
		Gatherer: "g", Members: []string{"a", "b"}, Age: 150 * time.Millisecond, InFlight: []wire.Count{{ID: "e", Requests: 4, Unread: 400}},
	}, got)
	g.Remove("b")
	assert.Equal(t, 1, totalRequests(g.Sum(start.Add(200*time.Millisecond), "g")), "the member has left the group")
}

// TestExpiredLoadsDoNotCount covers the loads of a silent member, and all loads at a gatherer that was suspended and resumes.
func TestExpiredLoadsDoNotCount(t *testing.T) {
	g := gather.NewGroup()
	g.Put(start, newLoad("a", 2))
	assert.Equal(t, 2, totalRequests(g.Sum(start.Add(life), "g")))
	g.Put(start.Add(life), newLoad("b", 1))
	assert.Equal(t, 1, totalRequests(g.Sum(start.Add(life+step), "g")))
	resumed := g.Sum(start.Add(time.Minute), "g")
	assert.Empty(t, resumed.Members)
	assert.Empty(t, resumed.InFlight)
	assert.True(t, g.Empty())
}

func TestArrivalsAreSentOnce(t *testing.T) {
	g := gather.NewGroup()
	loadWithArrivals := func(arrivals int) *wire.Load {
		load := newLoad("a", 0)
		load.Arrivals = []wire.Demand{{Service: "s", Model: "m", Name: "x", Arrivals: arrivals, PromptTokens: 10 * arrivals}}
		return load
	}
	g.Put(start, loadWithArrivals(2))
	g.Put(start, loadWithArrivals(3))
	assert.Equal(t, []wire.Demand{{Service: "s", Model: "m", Name: "x", Arrivals: 5, PromptTokens: 50}}, g.Sum(start, "g").Arrivals)
	assert.Empty(t, g.Sum(start, "g").Arrivals)
}

func TestSumsCountUntilTheyExpire(t *testing.T) {
	s := gather.NewSums()
	s.Put(start, newSum("g", 5, "a", "b"))
	assert.True(t, s.HasValid(start.Add(life), "g"))
	assert.False(t, s.HasValid(start.Add(life+step), "g"))
	assert.False(t, s.HasValid(start, "a"))
	got := s.Total(start.Add(100 * time.Millisecond))
	assert.Equal(t, map[deployment.EndpointID]member.InFlight{"e": {Requests: 5, Unread: 500}}, got.InFlight)
	assert.Equal(t, map[string]bool{"a": true, "b": true}, got.Members)
	assert.Equal(t, 200*time.Millisecond, got.Age, "100 ms for each of two members")
	late := s.Total(start.Add(life + step))
	assert.Empty(t, late.InFlight, "the gatherer is suspended or lost")
	assert.Empty(t, late.Members, "the members' own reports count again")
}

// TestMemberOfTwoSumsCountsOnce covers an instance that changed its gatherer while the last sum of the former gatherer is still
// valid.
func TestMemberOfTwoSumsCountsOnce(t *testing.T) {
	s := gather.NewSums()
	s.Put(start, newSum("g1", 8, "a", "b", "c", "d"))
	s.Put(start.Add(step), newSum("g2", 3, "a", "x"))
	got := s.Total(start.Add(2 * step))
	assert.Len(t, got.Members, 5)
	assert.Equal(t, 3+6, got.InFlight["e"].Requests, "three of the four members of the earlier sum")
	s.Put(start.Add(3*step), newSum("g2", 4, "a", "b", "c", "d"))
	assert.Equal(t, 4, s.Total(start.Add(3 * step)).InFlight["e"].Requests, "two gatherers with the same members")
}

// TestRandomGroupChangesKeepNoEndedRequests moves instances between gatherers that are suspended, resume and are lost, while
// requests start and end. At the end all requests are over, and no count may remain. Until then, no count is negative or above
// twice the recent number of requests in flight.
func TestRandomGroupChangesKeepNoEndedRequests(t *testing.T) {
	const instances, gatherers, steps = 12, 3, 400
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		groups := make([]*gather.Group, gatherers)
		for i := range groups {
			groups[i] = gather.NewGroup()
		}
		suspendedUntil := make([]time.Time, gatherers)
		s := gather.NewSums()
		groupOf, running := make([]int, instances), make([]int, instances)
		var history []int
		for at := range steps {
			now := start.Add(time.Duration(at) * gather.Interval)
			last := at >= steps-8
			all := 0
			for i := range instances {
				running[i] = max(0, running[i]+random.IntN(3)-1)
				if last {
					running[i] = 0
				}
				all += running[i]
				if random.IntN(20) == 0 {
					// Half of the moves keep the load at the former gatherer, as if its link stayed open for a while.
					if random.IntN(2) == 0 {
						groups[groupOf[i]].Remove(fmt.Sprint(i))
					}
					groupOf[i] = random.IntN(gatherers)
				}
				groups[groupOf[i]].Put(now, newLoad(fmt.Sprint(i), running[i]))
			}
			for i, group := range groups {
				if random.IntN(30) == 0 && !last {
					suspendedUntil[i] = now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
				}
				if !now.Before(suspendedUntil[i]) {
					s.Put(now, group.Sum(now, fmt.Sprint("g", i)))
				}
			}
			history = append(history, all)
			got := s.Total(now).InFlight["e"].Requests
			assert.GreaterOrEqual(t, got, 0)
			// A sum is valid for four steps, and so are the loads in it.
			assert.LessOrEqual(t, got, 2*slices.Max(history[max(0, len(history)-9):]), "seed %d, step %d", seed, at)
		}
		assert.Empty(t, s.Total(start.Add(steps*gather.Interval)).InFlight, "seed %d", seed)
	}
}
