// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/gather"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/tree"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// namingPause is the least pause between two choices of who gathers: longer keeps links, shorter replaces a lost gatherer sooner.
const namingPause = 500 * time.Millisecond

// totalsShare is the part of the planner's link that totals to gatherers may take: more tells younger ones in a fleet of many endpoints,
// less leaves more to views.
const totalsShare = 0.2

// gatherers is what the planner keeps of those that gather.
type gatherers struct {
	// named are those of the last views, namedAt when they were chosen; changed says that members are still to be told.
	named   []tree.Instance
	namedAt time.Time
	changed bool
	sums    *gather.Sums
	// totalsDue is when totals go out again.
	totalsDue time.Time
}

// formerTime is for how long a new planner goes on with the gatherers of the one before it: until most members have joined. Without them
// each member read the operators' keys and watched them, two calls of each at each change of planners.
const formerTime = time.Second

// inheritGatherers goes on with those that gathered for the planner before, this instance left out.
func (p *planning) inheritGatherers(now time.Time, former []tree.Instance) {
	g := &p.gatherers
	g.named = slices.DeleteFunc(slices.Clone(former), func(one tree.Instance) bool { return one.Name == p.coordinator.options.Instance })
	if len(g.named) > 0 {
		g.namedAt, g.changed = now.Add(formerTime-namingPause), true
	}
}

// nameGatherers chooses who gathers, when that is due. The planner itself does not, since it hears all others.
func (p *planning) nameGatherers(now time.Time) {
	g := &p.gatherers
	if now.Sub(g.namedAt) < namingPause {
		return
	}
	g.namedAt = now
	named := tree.Gatherers(p.members.GathererCandidates())
	if slices.Equal(named, g.named) {
		return
	}
	g.named, g.changed = named, true
}

// namedGatherers gives those that gather as views tell them.
func (p *planning) namedGatherers() []wire.Gatherer {
	list := make([]wire.Gatherer, 0, len(p.gatherers.named))
	for _, one := range p.gatherers.named {
		list = append(list, wire.Gatherer{Name: one.Name, Hall: one.Hall, Address: wire.Address{AddrPort: one.Address}})
	}
	return list
}

// takeSum takes in what an instance gathered.
func (p *planning) takeSum(now time.Time, sum *wire.Sum) {
	p.gatherers.sums.Put(now, sum)
	p.members.MarkHeard(now, sum.Members)
	p.plans.CountArrivals(now, sum.Arrivals)
}

// tellTotals sends the gatherers what all instances have in flight, when that is due; what there is to tell bounds how often.
func (p *planning) tellTotals(now time.Time) {
	g := &p.gatherers
	if now.Before(g.totalsDue) {
		return
	}
	g.totalsDue = now.Add(gather.Interval)
	var links []*peerstream.Stream[wire.Message]
	for instance, m := range p.members.All() {
		if m.Link != nil && g.sums.HasValid(now, instance) {
			links = append(links, m.Link)
		}
	}
	if len(links) == 0 {
		return
	}
	sums, age := p.allInFlight(now)
	p.applyOwnTotals(now, sums, age)
	totals := &wire.Totals{Planner: p.coordinator.options.Instance, Term: p.lease.Record().Term, Age: age, InFlight: countsOf(sums)}
	frame, err := peerstream.Encode(wire.Message{Totals: totals})
	if err != nil {
		p.coordinator.options.Log.WithError(err).Error("a view cannot be encoded")
		return
	}
	for _, link := range links {
		// A gatherer that does not read loses its link, and dials again.
		_ = link.SendFrame(frame)
	}
	g.totalsDue = now.Add(p.totalsPause(len(frame) * len(links)))
}

// totalsPause is the pause after totals of so many bytes.
func (p *planning) totalsPause(bytes int) time.Duration {
	rate := float64(p.coordinator.options.LinkRate) * totalsShare
	if rate <= 0 {
		return gather.Interval
	}
	return max(gather.Interval, time.Duration(float64(bytes)/rate*float64(time.Second)))
}
