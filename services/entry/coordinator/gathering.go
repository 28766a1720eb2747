// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/gather"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/tree"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// avoidFor is how long a gatherer that did not answer is passed over: longer asks a lost one less often, shorter returns sooner to one that
// was only slow.
const avoidFor = 3 * time.Second

// gathering is what an instance tells the one that gathers for it, and what it gathers for others itself.
type gathering struct {
	// gatherers are those that the planner last named; avoided are those that did not answer, and until when.
	gatherers []tree.Instance
	avoided   map[string]time.Time
	// stream is the link to the own gatherer; nil if there is none. itself tells that this instance is its own.
	stream *peerstream.Stream[wire.Message]
	itself bool
	// name is whom the link leads to; fedBy is the same once the planner's views come over it.
	name  string
	fedBy string
	// group is what this instance gathers, members those that tell it over a link.
	group   *gather.Group
	members map[*member.Link]string
	// loadSent and sumSent are when the last load and the last sum were sent.
	loadSent time.Time
	sumSent  time.Time
}

func newGathering() gathering {
	return gathering{avoided: make(map[string]time.Time), group: gather.NewGroup(), members: make(map[*member.Link]string)}
}

// gathererOf gives the instance that gathers for this one; false if none does.
func (c *Coordinator) gathererOf(now time.Time) (tree.Instance, bool) {
	if c.planning != nil {
		return tree.Instance{}, false
	}
	g := &c.gathering
	return tree.Of(c.options.Instance, c.options.Hall, g.gatherers, func(name string) bool { return now.Before(g.avoided[name]) })
}

// gatheredByAnother tells whether the planner named instances of this one's hall that gather, and this is none of them.
func (c *Coordinator) gatheredByAnother() bool {
	found := false
	for _, one := range c.gathering.gatherers {
		if one.Name == c.options.Instance {
			return false
		}
		found = found || one.Hall == c.options.Hall
	}
	return found
}

// followGatherer keeps the link to the instance that gathers for this one.
func (c *Coordinator) followGatherer() {
	for c.context.Err() == nil {
		var gatherer tree.Instance
		c.loop.Call(func(now time.Time) {
			found, ok := c.gathererOf(now)
			c.gathering.itself = ok && found.Name == c.options.Instance
			if ok && !c.gathering.itself {
				gatherer = found
			}
		})
		if gatherer.Name != "" {
			c.loadsTo(gatherer)
		}
		c.sleep(c.jitter(dialPause))
	}
}

// loadsTo holds one link to a gatherer until it fails, falls silent or another one gathers.
func (c *Coordinator) loadsTo(gatherer tree.Instance) {
	ctx, cancel := context.WithTimeout(c.context, gather.Life)
	conn, err := c.environment.Dial(ctx, gatherer.Address)
	cancel()
	if err != nil {
		// Not logged: it is told like a link that ends, by the age of the totals.
		c.loop.Call(func(now time.Time) { c.gathering.avoided[gatherer.Name] = now.Add(avoidFor) })
		return
	}
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	stop := context.AfterFunc(c.context, stream.Close)
	defer stop()
	c.loop.Call(func(time.Time) { c.gathering.stream, c.gathering.name = stream, gatherer.Name })
	for {
		received, err := stream.Receive(gather.Life, c.options.TimerNow)
		same := false
		c.loop.Call(func(now time.Time) {
			if err != nil {
				c.gathering.avoided[gatherer.Name] = now.Add(avoidFor)
				return
			}
			if received.Totals != nil {
				c.applyTotalsMessage(now, received.Totals)
			}
			if received.View != nil {
				c.applyForwarded(now, stream, received.View)
			}
			present, ok := c.gathererOf(now)
			same = ok && present == gatherer
		})
		if !same {
			break
		}
	}
	c.loop.Call(func(now time.Time) { c.leaveGatherer(now) })
}

// leaveGatherer forgets a link that has ended. The planner is told at once that this instance needs the views from it again, and a
// whole one first.
func (c *Coordinator) leaveGatherer(now time.Time) {
	fed := c.gathering.fedBy != ""
	c.gathering.stream, c.gathering.name, c.gathering.fedBy = nil, "", ""
	if fed && c.planning == nil {
		c.askForWholeView(now)
	}
}

// applyForwarded takes in a view of the planner that the gatherer passes on. From the first one on that follows those of the planner
// itself, the planner need not send them.
func (c *Coordinator) applyForwarded(now time.Time, stream *peerstream.Stream[wire.Message], v *wire.View) {
	if c.planning != nil || c.following.stream == nil || v.Term != c.following.Term {
		return
	}
	if c.following.Order(v) == view.Gap {
		if c.gathering.fedBy != "" {
			c.askForWholeView(now)
		}
		return
	}
	c.applyView(now, stream, v)
	if c.gathering.fedBy == "" && !c.following.needsWhole {
		c.gathering.fedBy = c.gathering.name
		c.reportSoon(now)
	}
}

// passViewOn sends a view of changes to the members of the group.
func (c *Coordinator) passViewOn(v *wire.View) {
	if len(c.gathering.members) == 0 || v.Sequence == 0 || v.Whole {
		return
	}
	passed := *v
	passed.Items, passed.KeysAge, passed.KeysFrom, passed.Probe = nil, 0, "", 0
	c.sendToGroup(wire.Message{View: &passed})
}

// tellLoads sends this instance's load and, where it gathers, the sum of its group, when they are due.
func (c *Coordinator) tellLoads(now time.Time) {
	g := &c.gathering
	if c.planning == nil && (g.stream != nil || g.itself) && now.Sub(g.loadSent) >= gather.Pace {
		c.sendLoad(now)
	}
	if !g.group.Empty() && now.Sub(g.sumSent) >= gather.Pace {
		c.sendSum(now)
	}
}

// sendLoad tells the gatherer what this instance has in flight and what has been asked for.
func (c *Coordinator) sendLoad(now time.Time) {
	g := &c.gathering
	g.loadSent = now
	load := &wire.Load{Instance: c.options.Instance, InFlight: c.ownCounts(), Arrivals: c.demand.TakeArrivals(now)}
	if g.itself {
		g.group.Take(now, load)
		return
	}
	if err := g.stream.Send(wire.Message{Load: load}); err != nil {
		c.options.Log.WithError(err).Warn("a load to the gatherer was dropped")
	}
}

// ownCounts is what this instance has in flight, and notes it as what was told last.
func (c *Coordinator) ownCounts() []wire.Count {
	var counts []wire.Count
	c.following.own = make(map[deployment.EndpointID]member.InFlight, c.directory.Size())
	for id, status := range c.directory.Endpoints() {
		if status.OwnRequests > 0 {
			own := ownInFlight(status)
			c.following.own[id] = own
			counts = append(counts, wire.Count{ID: id, Requests: own.Requests, Unread: own.Unread})
		}
	}
	return counts
}

// sendSum tells the planner, or this instance's own plan, what the group has in flight.
func (c *Coordinator) sendSum(now time.Time) {
	g := &c.gathering
	g.sumSent = now
	sum := g.group.Sum(now, c.options.Instance)
	if c.planning != nil {
		c.planning.takeSum(now, sum)
		return
	}
	if c.following.stream == nil {
		// A planner that comes learns the rates of these arrivals from each instance itself.
		return
	}
	if err := c.following.stream.Send(wire.Message{Sum: sum}); err != nil {
		c.options.Log.WithError(err).Warn("a sum to the planner was dropped")
	}
}

// takeLoad takes in what a peer tells this instance, which gathers for it.
func (c *Coordinator) takeLoad(now time.Time, stream *member.Link, load *wire.Load) {
	c.gathering.members[stream] = load.Instance
	c.gathering.group.Take(now, load)
}

// dropLoads forgets what came over a link that has ended.
func (c *Coordinator) dropLoads(stream *member.Link) {
	g := &c.gathering
	instance, ok := g.members[stream]
	if !ok {
		return
	}
	delete(g.members, stream)
	for _, other := range g.members {
		if other == instance {
			// It has dialed anew.
			return
		}
	}
	g.group.Drop(instance)
}

// applyGatherers takes in which instances gather, by the planner's view.
func (c *Coordinator) applyGatherers(v *wire.View) {
	if !v.Heartbeat && len(v.Gatherers) == 0 {
		return
	}
	c.gathering.gatherers = c.gathering.gatherers[:0:0]
	for _, one := range v.Gatherers {
		c.gathering.gatherers = append(c.gathering.gatherers, tree.Instance{Name: one.Name, Hall: one.Hall, Address: one.Address.AddrPort})
	}
}

// applyTotalsMessage takes in what all instances have in flight, and passes it on to those that this one gathers for.
func (c *Coordinator) applyTotalsMessage(now time.Time, totals *wire.Totals) {
	if totals.Term < c.following.Term || c.planning != nil {
		return
	}
	c.resetOthers()
	c.othersAsOf = now.Add(-totals.Age)
	for _, one := range totals.InFlight {
		c.setOthers(one.ID, member.InFlight{Requests: one.Requests, Unread: one.Unread}, c.following.own[one.ID])
	}
	c.sendToGroup(wire.Message{Totals: totals})
	c.reviewWaiters(now)
}

// sendToGroup sends a message to the members of the group.
func (c *Coordinator) sendToGroup(message wire.Message) {
	if len(c.gathering.members) == 0 {
		return
	}
	frame, err := peerstream.Encode(message)
	if err != nil {
		c.options.Log.WithError(err).Error("a view cannot be encoded")
		return
	}
	for stream := range c.gathering.members {
		// A member that does not read loses its link, and asks another gatherer.
		_ = stream.SendFrame(frame)
	}
}
