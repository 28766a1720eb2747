// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gather

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// Sums holds the last sum of each gatherer at the planner. It is not safe for concurrent use.
type Sums struct {
	latest map[string]received
}

// received is a sum and the time of its reception.
type received struct {
	at  time.Time
	sum *wire.Sum
}

// NewSums returns a set without sums.
func NewSums() *Sums {
	return &Sums{latest: make(map[string]received)}
}

// Put stores the sum of a gatherer in place of its last one.
func (s *Sums) Put(now time.Time, sum *wire.Sum) {
	s.latest[sum.Gatherer] = received{at: now, sum: sum}
}

// HasValid reports whether an instance has sent a sum that is still valid.
func (s *Sums) HasValid(now time.Time, instance string) bool {
	entry, ok := s.latest[instance]
	return ok && now.Sub(entry.at) <= TTL
}

// Gathered is the total of all sums.
type Gathered struct {
	// InFlight is the number of requests in flight of the instances in Members.
	InFlight map[deployment.EndpointID]member.InFlight
	// Members are the instances whose loads are included.
	Members map[string]bool
	// Age is the sum of the ages of those loads.
	Age time.Duration
}

// Total returns the total of the valid sums and removes the others. An instance that changed its gatherer may be a member of two
// sums; it counts in the later one. Its own part of the earlier sum is unknown, so that each member of a sum is assumed to
// contribute an equal part.
func (s *Sums) Total(now time.Time) Gathered {
	maps.DeleteFunc(s.latest, func(_ string, entry received) bool { return now.Sub(entry.at) > TTL })
	sums := slices.SortedFunc(maps.Values(s.latest), func(a, b received) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.sum.Gatherer, b.sum.Gatherer))
	})
	gathered := Gathered{InFlight: make(map[deployment.EndpointID]member.InFlight), Members: make(map[string]bool)}
	for _, entry := range sums {
		gathered.add(now, entry)
	}
	return gathered
}

// add adds the part of a sum that belongs to members which are not included yet.
func (g *Gathered) add(now time.Time, entry received) {
	added := 0
	for _, instance := range entry.sum.Members {
		if !g.Members[instance] {
			g.Members[instance] = true
			added++
		}
	}
	if added == 0 {
		return
	}
	g.Age += time.Duration(added) * (now.Sub(entry.at) + entry.sum.Age)
	part := float64(added) / float64(len(entry.sum.Members))
	for _, count := range entry.sum.InFlight {
		g.InFlight[count.ID] = g.InFlight[count.ID].Combine(member.InFlight{Requests: partOf(count.Requests, part), Unread: partOf(count.Unread, part)})
	}
}

func partOf(count int, part float64) int {
	return int(math.Round(float64(count) * part))
}
