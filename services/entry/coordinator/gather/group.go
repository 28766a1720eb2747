// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gather

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	// Interval is the interval of the loads of an instance, of the sums of a gatherer and of the totals of the planner. A shorter
	// interval gives decisions newer counts, but takes more of the links and processors. The mean age of the totals is half of
	// three intervals, 0.3 s.
	Interval = 200 * time.Millisecond
	// TTL is how long a load or a sum stays valid without a new one, four intervals. A longer time keeps the requests of an
	// instance that is suspended or lost; a shorter one drops them after a single late message. It is also how long a link may be
	// silent before another gatherer is chosen.
	TTL = 800 * time.Millisecond
)

// Group holds the loads that a gatherer has received. It is not safe for concurrent use.
type Group struct {
	loads    map[string]load
	arrivals map[deployment.ServiceAdapter]wire.Demand
}

// load is the last load of an instance.
type load struct {
	at       time.Time
	inFlight []wire.Count
}

// NewGroup returns a group without members.
func NewGroup() *Group {
	return &Group{loads: make(map[string]load), arrivals: make(map[deployment.ServiceAdapter]wire.Demand)}
}

// Put stores the load of an instance in place of its last one. Its arrivals are added up until the next sum.
func (g *Group) Put(now time.Time, l *wire.Load) {
	g.loads[l.Instance] = load{at: now, inFlight: l.InFlight}
	for _, arrival := range l.Arrivals {
		key := arrival.Key()
		known := g.arrivals[key]
		arrival.Arrivals += known.Arrivals
		arrival.PromptTokens += known.PromptTokens
		g.arrivals[key] = arrival
	}
}

// Remove removes the load of an instance that has left the group.
func (g *Group) Remove(instance string) {
	delete(g.loads, instance)
}

// Empty reports whether the group has neither loads nor arrivals.
func (g *Group) Empty() bool {
	return len(g.loads) == 0 && len(g.arrivals) == 0
}

// Sum returns the requests in flight of all members and the arrivals since the last sum, which it resets. Loads older than TTL, of
// a silent member or from before this gatherer was suspended, are removed.
func (g *Group) Sum(now time.Time, gatherer string) *wire.Sum {
	sum := &wire.Sum{Gatherer: gatherer}
	inFlight := make(map[deployment.EndpointID]member.InFlight)
	var ages time.Duration
	for instance, entry := range g.loads {
		age := now.Sub(entry.at)
		if age > TTL {
			delete(g.loads, instance)
			continue
		}
		ages += age
		sum.Members = append(sum.Members, instance)
		for _, count := range entry.inFlight {
			inFlight[count.ID] = inFlight[count.ID].Combine(member.InFlight{Requests: count.Requests, Unread: count.Unread})
		}
	}
	slices.Sort(sum.Members)
	if len(sum.Members) > 0 {
		sum.Age = ages / time.Duration(len(sum.Members))
	}
	for id, count := range inFlight {
		sum.InFlight = append(sum.InFlight, wire.Count{ID: id, Requests: count.Requests, Unread: count.Unread})
	}
	for _, entry := range g.arrivals {
		sum.Arrivals = append(sum.Arrivals, entry)
	}
	clear(g.arrivals)
	return sum
}
