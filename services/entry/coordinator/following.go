// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// following is what an instance keeps of its link to the planner.
type following struct {
	view.Followed
	// stream is the link; nil if there is none.
	stream *peerstream.Stream[wire.Message]
	// ratesDue asks for the arrival rates in the next report.
	ratesDue bool
	// own is what the last report said was in flight.
	own map[deployment.EndpointID]member.InFlight
	// heard tells that a view came over the link.
	heard bool
	// needsWhole tells that views are missing, until a whole one comes; wholeAskedAt is when one was last asked for.
	needsWhole   bool
	wholeAskedAt time.Time
	// keysAsked asks for the keys that the planner lacks in the next report.
	keysAsked bool
	// plannerLag is how long a planner that asks for no keys has lacked newer ones, keysSentAt when it was sent them last.
	plannerLag member.Lag
	keysSentAt time.Time
}

// dialPause is the pause before the planner is looked for again: shorter trades failed dials for an earlier link.
const dialPause = 150 * time.Millisecond

// followPlanner keeps the link to the planner.
func (c *Coordinator) followPlanner() {
	for c.context.Err() == nil {
		address, ok := c.plannerAddress()
		if !ok {
			c.sleep(dialPause)
			continue
		}
		c.followAt(address)
		c.sleep(c.jitter(dialPause))
	}
}

// plannerAddress gives where another instance plans; false if none is known.
func (c *Coordinator) plannerAddress() (netip.AddrPort, bool) {
	var address netip.AddrPort
	c.loop.Call(func(time.Time) {
		if c.planning == nil {
			address = c.knownRecord.Address
		}
	})
	return address, address.IsValid() && address != c.options.PeerAddress
}

// followAt holds one link until it fails or falls silent.
func (c *Coordinator) followAt(address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(c.context, view.SilenceLimit)
	conn, err := c.environment.Dial(ctx, address)
	cancel()
	if err != nil {
		// Not logged: the planner's silence is noticed by the age of its views, and the planner is dialed again.
		return
	}
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	stop := context.AfterFunc(c.context, stream.Close)
	defer stop()
	c.loop.Call(func(now time.Time) {
		c.following.stream = stream
		c.following.Opened(now)
		c.following.heard, c.following.keysAsked, c.following.needsWhole = false, false, false
		c.gathering.fedBy = ""
		c.following.own = nil
		c.following.ratesDue = true
		c.sendReport(now)
	})
	for {
		// One view is taken in before the next is read, so that views do not pile up before the control goroutine.
		c.loop.Call(func(time.Time) {})
		received, err := stream.Receive(view.SilenceLimit, c.options.TimerNow)
		if err != nil {
			// Not logged, as with the dial.
			break
		}
		if received.View != nil {
			c.loop.Post(func(now time.Time) { c.applyView(now, stream, received.View) })
		}
		if received.Totals != nil {
			c.loop.Post(func(now time.Time) { c.applyTotalsMessage(now, received.Totals) })
		}
		if received.Successor != nil {
			c.loop.Call(func(now time.Time) { c.learnSuccessor(now, *received.Successor) })
		}
	}
	c.loop.Call(func(time.Time) {
		if c.following.stream == stream {
			c.following.stream = nil
		}
	})
}

// applyView takes in a view of the planner.
func (c *Coordinator) applyView(now time.Time, stream *peerstream.Stream[wire.Message], v *wire.View) {
	arrival := view.Arrival{PresentLink: stream == c.following.stream || stream == c.gathering.stream, Planning: c.planning != nil}
	if c.following.Judge(v, arrival) != view.Keep {
		return
	}
	c.following.heard = true
	if v.Bare {
		c.applyBareView(now, v)
		return
	}
	switch c.following.Order(v) {
	case view.Repeated:
		return
	case view.Gap:
		c.askForWholeView(now)
		return
	}
	effects := c.following.Take(now, v)
	c.passViewOn(v)
	c.noteLoads(now, v)
	c.budget.SetMembers(v.Members)
	c.following.needsWhole = c.following.needsWhole && !v.Whole
	c.applyItems(now, c.passedOn(now, v), v.Items)
	c.applyViewEndpoints(v)
	c.noteDescribed(now, v)
	c.applyUnreached(v)
	c.applyLimits(now, v)
	c.takeCrashes(now, v.Crashes, false)
	// This instance may have given up requests at an endpoint that has ended.
	c.tellCrashesSoon(now)
	c.applyViewTotals(now, v)
	c.applyGatherers(v)
	c.applyForecasts(now, v)
	// The planner sends keys again to who does not say that they came.
	if c.noteKeysAsked(v) || len(v.Items) > 0 || effects.Acknowledge {
		c.acknowledge(now)
	}
	if effects.Resigned {
		c.askForLook(now)
	}
	if v.ConfirmedAge > lease.ConfirmTrouble && now.Sub(c.storeReadAt) > lease.ConfirmTrouble {
		c.askForLook(now)
	}
	c.reviewWaiters(now)
}

// noteDescribed takes in up to which revision the views have told the endpoints' descriptions, or asks for a view that describes all where
// this one left out an endpoint that is not known here.
func (c *Coordinator) noteDescribed(now time.Time, v *wire.View) {
	if len(v.Known) > 0 && c.describedUpTo == 0 {
		c.askForWholeView(now)
		return
	}
	c.describedUpTo = max(c.describedUpTo, v.DescribedUpTo)
}

// applyBareView takes in keys that the planner sends this instance itself, beside the views that a gatherer passes on.
func (c *Coordinator) applyBareView(now time.Time, v *wire.View) {
	c.following.TakeBare(now, v)
	c.applyItems(now, c.passedOn(now, v), v.Items)
	if c.noteKeysAsked(v) || len(v.Items) > 0 {
		c.acknowledge(now)
	}
}

// noteKeysAsked takes in whether the planner asks this instance for keys that it lacks.
func (c *Coordinator) noteKeysAsked(v *wire.View) bool {
	asked := v.KeysFrom == c.options.Instance
	c.following.keysAsked = c.following.keysAsked || asked
	return asked
}

// wholePause is how long a whole view is waited for before it is asked for again.
const wholePause = time.Second

// asksForWhole tells whether the next report asks for a whole view, and counts it as asked for if it does.
func (c *Coordinator) asksForWhole(now time.Time) bool {
	if !c.following.needsWhole || now.Sub(c.following.wholeAskedAt) < wholePause {
		return false
	}
	c.following.wholeAskedAt = now
	return true
}

// askForWholeView tells the planner that views are missing here, once until a whole one comes.
func (c *Coordinator) askForWholeView(now time.Time) {
	if c.following.needsWhole || c.following.stream == nil {
		return
	}
	c.following.needsWhole = true
	c.gathering.fedBy = ""
	c.reportSoon(now)
}

// passedOn is how the keys came that a view passes on: they are as old as the planner says, and as the view was long on its way.
func (c *Coordinator) passedOn(now time.Time, v *wire.View) follow.Origin {
	origin := c.complete.Origin(follow.FromPlanner, v.ConfigurationRevision)
	made, known := c.following.MadeAfter()
	if v.Bare {
		made, known = c.following.BareMadeAfter(now, v)
	}
	if v.KeysAge <= 0 || !known {
		return origin
	}
	return origin.NotBefore(made.Add(-v.KeysAge))
}

// applyViewTotals takes in what the other instances have in flight; a heartbeat names all of it.
func (c *Coordinator) applyViewTotals(now time.Time, v *wire.View) {
	if v.Heartbeat {
		c.resetOthers()
		c.othersAsOf = now.Add(-c.following.Delay - v.TotalsAge)
	}
	for _, total := range v.Totals {
		c.setOthers(total.ID, member.InFlight{Requests: total.Count, Unread: total.Unread}, c.following.own[total.ID])
	}
}

// resetOthers forgets what the other instances have in flight.
func (c *Coordinator) resetOthers() {
	for _, status := range c.directory.Endpoints() {
		status.OthersRequests, status.OthersUnread = 0, 0
	}
}

// setOthers takes in what the other instances have in flight at an endpoint: the total of all instances less this one's part in it.
func (c *Coordinator) setOthers(id deployment.EndpointID, total, own member.InFlight) {
	if status := c.directory.Endpoint(id); status != nil {
		status.OthersRequests = max(0, total.Requests-own.Requests)
		status.OthersUnread = max(0, total.Unread-own.Unread)
	}
}

// applyForecasts takes in which adapters are on their way; a heartbeat names all of them.
func (c *Coordinator) applyForecasts(now time.Time, v *wire.View) {
	if v.Heartbeat {
		c.forecasts.Renew(v.Backlogs)
	}
	for _, one := range v.Forecasts {
		c.forecasts.Note(one.Key(), now.Add(one.Remaining))
	}
}

// acknowledge reports that an announcement was taken in, at once where the last report is old enough.
func (c *Coordinator) acknowledge(now time.Time) {
	if c.reports.AskAcknowledge(now, c.following.Members) {
		c.sendReport(now)
	}
}

func (c *Coordinator) applyViewEndpoints(v *wire.View) {
	listed := make(map[deployment.EndpointID]bool, len(v.Endpoints))
	for i, endpoint := range v.Described() {
		listed[endpoint.ID] = true
		c.putEndpoint(endpoint, v.Endpoints[i].Revision)
		if status := c.directory.Endpoint(endpoint.ID); status != nil && status.Revision <= v.Endpoints[i].Revision {
			c.directory.SetOffered(endpoint.ID, endpoint.Models, endpoint.Adapters)
		}
	}
	c.applyKnown(v)
	for _, one := range v.Copies {
		if !c.knownAnew(v, one.ID) {
			c.directory.SetCopy(one.ID, deployment.Adapter{Model: one.Model, Name: one.Name}, one.Version)
		}
	}
	c.noteCopiesTold()
	for _, id := range v.Unchanged {
		listed[id] = true
	}
	for _, known := range v.Known {
		for _, id := range known.IDs {
			listed[id] = true
		}
	}
	for _, gone := range v.Removed {
		c.removeEndpoint(gone.ID, gone.Revision)
	}
	if !v.Full {
		return
	}
	for id := range maps.Clone(c.directory.Endpoints()) {
		if !listed[id] {
			c.removeEndpoint(id, v.EndpointsRevision)
		}
	}
	if v.EndpointsRevision > 0 {
		c.endpointsKnown = true
		c.updateReady()
	}
}

// applyKnown takes in what is on offer at endpoints that a whole view does not describe, since this instance knows them; the copies
// follow. Where it does not, it asks for a view that describes all.
func (c *Coordinator) applyKnown(v *wire.View) {
	for _, known := range v.Known {
		for _, id := range known.IDs {
			if c.directory.Endpoint(id) == nil {
				c.describedUpTo = 0
				continue
			}
			if !c.knownAnew(v, id) {
				c.directory.SetOffered(id, known.Models, nil)
			}
		}
	}
}

// knownAnew tells whether this instance knows a later description of an endpoint than a whole view without descriptions: it may have
// started again since, and hold nothing of what the view tells.
func (c *Coordinator) knownAnew(v *wire.View, id deployment.EndpointID) bool {
	status := c.directory.Endpoint(id)
	return len(v.Known) > 0 && v.DescribedUpTo > 0 && status != nil && status.Revision > v.DescribedUpTo
}
