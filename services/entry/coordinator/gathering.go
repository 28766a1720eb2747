// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/gather"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/tree"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// gathererAvoidTime is how long a gatherer that did not answer is avoided. A longer time makes fewer attempts to reach
// a lost gatherer. A shorter time returns sooner to a gatherer that was only slow.
const gathererAvoidTime = 3 * time.Second

// gathering is the state of an instance's link to its gatherer, and of what this instance gathers for others itself.
type gathering struct {
	// gatherers are the gatherers that the planner last named. avoidedUntil holds the gatherers that did not answer, with
	// the time until which they are avoided.
	gatherers    []tree.Instance
	avoidedUntil map[string]time.Time
	// stream is the link to this instance's gatherer; nil if there is none. gathersItself reports that this instance is
	// its own gatherer.
	stream        *peerstream.Stream[wire.Message]
	gathersItself bool
	// gathererName is the gatherer at the other end of the link. forwarder is the same name once the
	// planner's views arrive over the link, and empty before.
	gathererName string
	forwarder    string
	// group sums what this instance gathers. members are the links over which members send their loads, with the members'
	// names.
	group   *gather.Group
	members map[*member.Link]string
	// loadSentAt and sumSentAt are when the last load and the last sum were sent.
	loadSentAt time.Time
	sumSentAt  time.Time
}

func newGathering() gathering {
	return gathering{avoidedUntil: make(map[string]time.Time), group: gather.NewGroup(), members: make(map[*member.Link]string)}
}

// avoid avoids a gatherer that did not answer, and drops those that are not avoided any more.
func (g *gathering) avoid(now time.Time, gatherer string) {
	maps.DeleteFunc(g.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	g.avoidedUntil[gatherer] = now.Add(gathererAvoidTime)
}

// currentGatherer returns the instance that gathers for this one. It returns false if none does.
func (c *Coordinator) currentGatherer(now time.Time) (tree.Instance, bool) {
	if c.planner != nil {
		return tree.Instance{}, false
	}
	g := &c.gathering
	return tree.GathererOf(c.options.Instance, c.options.Hall, g.gatherers, func(name string) bool { return now.Before(g.avoidedUntil[name]) })
}

// gatheredByAnother reports whether the planner named gatherers in this instance's hall, and this instance is not a
// gatherer.
func (c *Coordinator) gatheredByAnother() bool {
	found := false
	for _, gatherer := range c.gathering.gatherers {
		if gatherer.Name == c.options.Instance {
			return false
		}
		found = found || gatherer.Hall == c.options.Hall
	}
	return found
}

// followGatherer maintains the link to the instance that gathers for this one.
func (c *Coordinator) followGatherer() {
	for c.context.Err() == nil {
		var gatherer tree.Instance
		c.loop.Call(func(now time.Time) {
			found, ok := c.currentGatherer(now)
			c.gathering.gathersItself = ok && found.Name == c.options.Instance
			if ok && !c.gathering.gathersItself {
				gatherer = found
			}
		})
		if gatherer.Name != "" {
			c.followGathererAt(gatherer)
		}
		c.sleep(c.jitter(dialPause))
	}
}

// followGathererAt maintains one link to a gatherer until it fails, falls silent or another instance becomes the gatherer.
func (c *Coordinator) followGathererAt(gatherer tree.Instance) {
	ctx, cancel := context.WithTimeout(c.context, gather.TTL)
	conn, err := c.environment.Dial(ctx, gatherer.Address)
	cancel()
	if err != nil {
		// Not logged: like a broken link, this is visible in the age of the totals.
		c.loop.Call(func(now time.Time) { c.gathering.avoid(now, gatherer.Name) })
		return
	}
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	stop := context.AfterFunc(c.context, stream.Close)
	defer stop()
	c.loop.Call(func(time.Time) { c.gathering.stream, c.gathering.gathererName = stream, gatherer.Name })
	for {
		received, err := stream.Receive(gather.TTL, c.options.TimerNow)
		unchanged := false
		c.loop.Call(func(now time.Time) {
			if err != nil {
				c.gathering.avoid(now, gatherer.Name)
				return
			}
			if received.Totals != nil {
				c.applyTotals(now, received.Totals)
			}
			if received.View != nil {
				c.applyForwardedView(now, stream, received.View)
			}
			current, ok := c.currentGatherer(now)
			unchanged = ok && current == gatherer
		})
		if !unchanged {
			break
		}
	}
	c.loop.Call(func(now time.Time) { c.forgetGathererLink(now) })
}

// forgetGathererLink removes a link that has ended. If views arrived over the link, a report is sent at once, so that the
// planner sends its views to this instance again, beginning with a snapshot.
func (c *Coordinator) forgetGathererLink(now time.Time) {
	hadForwardedViews := c.gathering.forwarder != ""
	c.gathering.stream, c.gathering.gathererName, c.gathering.forwarder = nil, "", ""
	if hadForwardedViews && c.planner == nil {
		c.requestSnapshot(now)
	}
}

// applyForwardedView applies a view of the planner that the gatherer forwards. The first forwarded view that continues the
// planner's own sequence sets forwarder, so that the planner can stop sending these views to this instance.
func (c *Coordinator) applyForwardedView(now time.Time, stream *peerstream.Stream[wire.Message], v *wire.View) {
	if c.planner != nil || c.follower.stream == nil || v.Term != c.follower.Term {
		return
	}
	if c.follower.Order(v) == view.Gap {
		if c.gathering.forwarder != "" {
			c.requestSnapshot(now)
		}
		return
	}
	c.applyView(now, stream, v)
	if c.gathering.forwarder == "" && !c.follower.needsSnapshot {
		c.gathering.forwarder = c.gathering.gathererName
		c.requestReport(now)
	}
}

// forwardView sends a view of changes to the members of the group.
func (c *Coordinator) forwardView(v *wire.View) {
	if len(c.gathering.members) == 0 || v.Sequence == 0 || v.IsSnapshot {
		return
	}
	forwarded := *v
	forwarded.Items, forwarded.KeysAge, forwarded.KeysRequestedFrom, forwarded.Probe = nil, 0, "", 0
	c.sendToGroup(wire.Message{View: &forwarded})
}

// sendDueLoads sends this instance's load and, at a gatherer, the sum of its group, when they are due.
func (c *Coordinator) sendDueLoads(now time.Time) {
	g := &c.gathering
	if c.planner == nil && (g.stream != nil || g.gathersItself) && now.Sub(g.loadSentAt) >= gather.Interval {
		c.sendLoad(now)
	}
	if !g.group.Empty() && now.Sub(g.sumSentAt) >= gather.Interval {
		c.sendSum(now)
	}
}

// sendLoad sends this instance's requests in flight and its arrivals to the gatherer.
func (c *Coordinator) sendLoad(now time.Time) {
	g := &c.gathering
	g.loadSentAt = now
	load := &wire.Load{Instance: c.options.Instance, InFlight: c.takeOwnCounts(), Arrivals: c.demand.TakeArrivals(now)}
	if g.gathersItself {
		g.group.Put(now, load)
		return
	}
	if err := g.stream.Send(wire.Message{Load: load}); err != nil {
		c.options.Log.WithError(err).Warn("a report of load to the gatherer was dropped")
	}
}

// takeOwnCounts returns this instance's requests in flight, and stores them as last reported.
func (c *Coordinator) takeOwnCounts() []wire.Count {
	var counts []wire.Count
	c.follower.inFlight = make(map[deployment.EndpointID]member.InFlight, c.directory.Size())
	for id, status := range c.directory.Endpoints() {
		if status.OwnRequests > 0 {
			inFlight := ownInFlight(status)
			c.follower.inFlight[id] = inFlight
			counts = append(counts, wire.Count{ID: id, Requests: inFlight.Requests, Unread: inFlight.Unread})
		}
	}
	return counts
}

// sendSum sends the sum of the group to the planner or to this instance's own plan.
func (c *Coordinator) sendSum(now time.Time) {
	g := &c.gathering
	g.sumSentAt = now
	sum := g.group.Sum(now, c.options.Instance)
	if c.planner != nil {
		c.planner.applySum(now, sum)
		return
	}
	if c.follower.stream == nil {
		// A new planner receives the rates of these arrivals from each instance directly.
		return
	}
	if err := c.follower.stream.Send(wire.Message{Sum: sum}); err != nil {
		c.options.Log.WithError(err).Warn("a sum of loads to the planner was dropped")
	}
}

// applyLoad applies a load that a member of this instance's group sent.
func (c *Coordinator) applyLoad(now time.Time, stream *member.Link, load *wire.Load) {
	c.gathering.members[stream] = load.Instance
	c.gathering.group.Put(now, load)
}

// dropLoads removes what was received over a link that has ended.
func (c *Coordinator) dropLoads(stream *member.Link) {
	g := &c.gathering
	instance, ok := g.members[stream]
	if !ok {
		return
	}
	delete(g.members, stream)
	for _, other := range g.members {
		if other == instance {
			// The member has dialed again.
			return
		}
	}
	g.group.Remove(instance)
}

// applyGatherers applies the gatherers that the planner's view names.
func (c *Coordinator) applyGatherers(v *wire.View) {
	if !v.Heartbeat && len(v.Gatherers) == 0 {
		return
	}
	c.gathering.gatherers = c.gathering.gatherers[:0:0]
	for _, gatherer := range v.Gatherers {
		c.gathering.gatherers = append(c.gathering.gatherers, tree.Instance{Name: gatherer.Name, Hall: gatherer.Hall, Address: gatherer.Address.AddrPort})
	}
}

// applyTotals applies the requests in flight of all instances and forwards them to the members of this instance's group.
func (c *Coordinator) applyTotals(now time.Time, totals *wire.Totals) {
	if totals.Term < c.follower.Term || c.planner != nil {
		return
	}
	c.resetOthersInFlight()
	c.othersInFlightAt = now.Add(-totals.Age)
	for _, count := range totals.InFlight {
		c.setOthersInFlight(count.ID, member.InFlight{Requests: count.Requests, Unread: count.Unread}, c.follower.inFlight[count.ID])
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
		// The link of a member that does not read is closed, and the member dials another gatherer.
		_ = stream.SendFrame(frame)
	}
}
