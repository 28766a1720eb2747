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

// gathererChoiceInterval is the minimum interval between two choices of the gatherers. A longer interval keeps links for
// longer; a shorter one replaces a lost gatherer sooner.
const gathererChoiceInterval = 500 * time.Millisecond

// totalsShare is the share of the planner's link that totals for gatherers may take. A larger share sends newer totals in
// a fleet with many endpoints; a smaller one leaves more of the link to views.
const totalsShare = 0.2

// gatherers is the planner's state of the gatherers.
type gatherers struct {
	// chosen are the gatherers in the last views, and chosenAt is when they were chosen. changed reports that no view has
	// carried them yet.
	chosen   []tree.Instance
	chosenAt time.Time
	changed  bool
	sums     *gather.Sums
	// nextTotalsAt is when totals are sent again.
	nextTotalsAt time.Time
}

// inheritedGatherersTime is how long a new planner keeps the gatherers of its predecessor: until most members have
// joined. Without gatherers each member would read and watch the operators' keys, two calls of each kind at each change of
// the planner.
const inheritedGatherersTime = time.Second

// inheritGatherers takes over the gatherers of the previous planner, except this instance.
func (p *planner) inheritGatherers(now time.Time, former []tree.Instance) {
	g := &p.gatherers
	g.chosen = slices.DeleteFunc(slices.Clone(former), func(gatherer tree.Instance) bool { return gatherer.Name == p.coordinator.options.Instance })
	if len(g.chosen) > 0 {
		g.chosenAt, g.changed = now.Add(inheritedGatherersTime-gathererChoiceInterval), true
	}
}

// chooseGatherers chooses the gatherers if that is due. The planner itself is never one, because it receives the reports
// of all other instances.
func (p *planner) chooseGatherers(now time.Time) {
	g := &p.gatherers
	if now.Sub(g.chosenAt) < gathererChoiceInterval {
		return
	}
	g.chosenAt = now
	chosen := tree.Gatherers(p.members.GathererCandidates())
	if slices.Equal(chosen, g.chosen) {
		return
	}
	g.chosen, g.changed = chosen, true
}

// wireGatherers returns the gatherers for a view.
func (p *planner) wireGatherers() []wire.Gatherer {
	list := make([]wire.Gatherer, 0, len(p.gatherers.chosen))
	for _, gatherer := range p.gatherers.chosen {
		list = append(list, wire.Gatherer{Name: gatherer.Name, Hall: gatherer.Hall, Address: wire.Address{AddrPort: gatherer.Address}})
	}
	return list
}

// applySum applies the sum of a gatherer.
func (p *planner) applySum(now time.Time, sum *wire.Sum) {
	p.gatherers.sums.Put(now, sum)
	p.members.MarkLoadsReceived(now, sum.Members)
	p.plans.CountArrivals(now, sum.Arrivals)
}

// sendTotals sends the gatherers the in-flight requests of all instances, if that is due. The size of the totals bounds
// how often they are sent.
func (p *planner) sendTotals(now time.Time) {
	g := &p.gatherers
	if now.Before(g.nextTotalsAt) {
		return
	}
	g.nextTotalsAt = now.Add(gather.Interval)
	var links []*peerstream.Stream[wire.Message]
	for instance, m := range p.members.All() {
		if m.Link != nil && g.sums.HasValid(now, instance) {
			links = append(links, m.Link)
		}
	}
	if len(links) == 0 {
		return
	}
	sums, age := p.totalInFlight(now)
	p.applyTotalsLocally(now, sums, age)
	totals := &wire.Totals{Planner: p.coordinator.options.Instance, Term: p.lease.Record().Term, Age: age, InFlight: wireCounts(sums)}
	frame, err := peerstream.Encode(wire.Message{Totals: totals})
	if err != nil {
		p.coordinator.options.Log.WithError(err).Error("a view cannot be encoded")
		return
	}
	for _, link := range links {
		// The link of a gatherer that does not read is closed, and the gatherer dials again.
		_ = link.SendFrame(frame)
	}
	g.nextTotalsAt = now.Add(p.totalsPause(len(frame) * len(links)))
}

// totalsPause returns the pause after totals of the given size.
func (p *planner) totalsPause(bytes int) time.Duration {
	rate := float64(p.coordinator.options.LinkRate) * totalsShare
	if rate <= 0 {
		return gather.Interval
	}
	return max(gather.Interval, time.Duration(float64(bytes)/rate*float64(time.Second)))
}
