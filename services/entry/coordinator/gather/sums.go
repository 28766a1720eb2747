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

// Sums are the last ones of all gatherers, as the planner hears them; they are not safe for concurrent use.
type Sums struct {
	latest map[string]received
}

// received is a sum and when it came.
type received struct {
	at  time.Time
	sum *wire.Sum
}

// NewSums makes sums of no gatherer.
func NewSums() *Sums {
	return &Sums{latest: make(map[string]received)}
}

// Take takes in a gatherer's sum in place of its last one.
func (s *Sums) Take(now time.Time, sum *wire.Sum) {
	s.latest[sum.Gatherer] = received{at: now, sum: sum}
}

// Gathers tells whether an instance's sum counts.
func (s *Sums) Gathers(now time.Time, instance string) bool {
	one, ok := s.latest[instance]
	return ok && now.Sub(one.at) <= Life
}

// Gathered is what all sums together tell.
type Gathered struct {
	// InFlight sums the requests in flight of the instances in Members.
	InFlight map[deployment.EndpointID]member.InFlight
	// Members are the instances whose loads are in it.
	Members map[string]bool
	// Age is how old those loads are, added up.
	Age time.Duration
}

// Gather adds up the sums that count and forgets the others. An instance that two gatherers name, since it went from one to the other,
// counts with the later sum; the part that it has in the earlier one is not known by itself, so that each of its members counts as
// one of many there.
func (s *Sums) Gather(now time.Time) Gathered {
	maps.DeleteFunc(s.latest, func(_ string, one received) bool { return now.Sub(one.at) > Life })
	sums := slices.SortedFunc(maps.Values(s.latest), func(a, b received) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.sum.Gatherer, b.sum.Gatherer))
	})
	gathered := Gathered{InFlight: make(map[deployment.EndpointID]member.InFlight), Members: make(map[string]bool)}
	for _, one := range sums {
		gathered.add(now, one)
	}
	return gathered
}

// add adds the part of a sum whose members are not in it yet.
func (g *Gathered) add(now time.Time, one received) {
	fresh := 0
	for _, instance := range one.sum.Members {
		if !g.Members[instance] {
			g.Members[instance] = true
			fresh++
		}
	}
	if fresh == 0 {
		return
	}
	g.Age += time.Duration(fresh) * (now.Sub(one.at) + one.sum.Age)
	part := float64(fresh) / float64(len(one.sum.Members))
	for _, count := range one.sum.InFlight {
		g.InFlight[count.ID] = g.InFlight[count.ID].Plus(member.InFlight{Requests: partOf(count.Requests, part), Unread: partOf(count.Unread, part)})
	}
}

func partOf(count int, part float64) int {
	return int(math.Round(float64(count) * part))
}
