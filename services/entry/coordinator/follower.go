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

// follower is an instance's state of its link to the planner.
type follower struct {
	view.PlannerState
	// stream is the link; nil if there is none.
	stream *peerstream.Stream[wire.Message]
	// ratesDue requests the arrival rates in the next report.
	ratesDue bool
	// inFlight is this instance's requests in flight according to its last report.
	inFlight map[deployment.EndpointID]member.InFlight
	// viewReceived reports whether a view was received over the link.
	viewReceived bool
	// needsSnapshot is set while views are missing, until a snapshot is received. snapshotRequestedAt is when a
	// snapshot was last requested.
	needsSnapshot       bool
	snapshotRequestedAt time.Time
	// keysRequested reports that the next report must carry the keys that the planner lacks.
	keysRequested bool
	// plannerKeysLag measures for how long a planner that does not request keys has lacked newer ones. keysSentAt is when
	// keys were last sent to it.
	plannerKeysLag member.Lag
	keysSentAt     time.Time
}

// dialPause is the mean pause before the planner is dialed again. A shorter pause finds the planner sooner and makes more
// failed dials.
const dialPause = 150 * time.Millisecond

// followPlanner maintains the link to the planner.
func (c *Coordinator) followPlanner() {
	for c.context.Err() == nil {
		address, ok := c.plannerAddress()
		if !ok {
			c.sleep(dialPause)
			continue
		}
		c.followPlannerAt(address)
		c.sleep(c.jitter(dialPause))
	}
}

// plannerAddress returns the address of the planner if it is another instance. It returns false if none is known.
func (c *Coordinator) plannerAddress() (netip.AddrPort, bool) {
	var address netip.AddrPort
	c.loop.Call(func(time.Time) {
		if c.planner == nil {
			address = c.knownRecord.Address
		}
	})
	return address, address.IsValid() && address != c.options.PeerAddress
}

// followPlannerAt maintains one link until it fails or falls silent.
func (c *Coordinator) followPlannerAt(address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(c.context, view.SilenceLimit)
	conn, err := c.environment.Dial(ctx, address)
	cancel()
	if err != nil {
		// Not logged: the age of the views shows that the planner is silent, and the planner is dialed again.
		return
	}
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	stop := context.AfterFunc(c.context, stream.Close)
	defer stop()
	c.loop.Call(func(now time.Time) {
		c.follower.stream = stream
		c.follower.LinkOpened(now)
		c.follower.viewReceived, c.follower.keysRequested, c.follower.needsSnapshot = false, false, false
		c.gathering.forwarder = ""
		c.follower.inFlight = nil
		c.follower.ratesDue = true
		c.sendReport(now)
	})
	for {
		// This empty call waits until the last view was applied, so that views do not pile up in the queue of the control
		// goroutine.
		c.loop.Call(func(time.Time) {})
		received, err := stream.Receive(view.SilenceLimit, c.options.TimerNow)
		if err != nil {
			// Not logged, for the same reason as a failed dial.
			break
		}
		if received.View != nil {
			c.loop.Post(func(now time.Time) { c.applyView(now, stream, received.View) })
		}
		if received.Totals != nil {
			c.loop.Post(func(now time.Time) { c.applyTotals(now, received.Totals) })
		}
		if received.Successor != nil {
			c.loop.Call(func(now time.Time) { c.applySuccessor(now, *received.Successor) })
		}
	}
	c.loop.Call(func(time.Time) {
		if c.follower.stream == stream {
			c.follower.stream = nil
		}
	})
}

// applyView applies a view of the planner.
func (c *Coordinator) applyView(now time.Time, stream *peerstream.Stream[wire.Message], v *wire.View) {
	arrival := view.Arrival{CurrentLink: stream == c.follower.stream || stream == c.gathering.stream, Planning: c.planner != nil}
	if c.follower.Judge(v, arrival) != view.Accept {
		return
	}
	c.follower.viewReceived = true
	c.recordTerm(v.Term)
	if v.Bare {
		c.applyBareView(now, v)
		return
	}
	switch c.follower.Order(v) {
	case view.Duplicate:
		return
	case view.Gap:
		c.requestSnapshot(now)
		return
	}
	effects := c.follower.Apply(now, v)
	c.forwardView(v)
	c.recordPlannerLoads(now, v)
	c.budget.SetMembers(v.Members)
	c.follower.needsSnapshot = c.follower.needsSnapshot && !v.IsSnapshot
	c.applyItems(now, c.originOfView(now, v), v.Items)
	c.applyViewEndpoints(v)
	c.applyDescribedRevision(now, v)
	c.applyUnreachable(v)
	c.applyTunnels(v)
	c.applyLimits(now, v)
	c.applyBrittle(now, v)
	c.mergeCrashes(now, v.Crashes, v.CrashDetails, false)
	c.parts.Merge(now, tableCrashes(v.PartCrashes, v.PartDetails), false)
	// This instance may have abandoned requests at an endpoint that has ended.
	c.publishCrashes(now)
	c.applyViewTotals(now, v)
	c.applyGatherers(v)
	c.applyForecasts(now, v)
	// The planner sends keys again until they are acknowledged.
	if c.recordKeysRequest(v) || len(v.Items) > 0 || effects.Acknowledge {
		c.acknowledge(now)
	}
	if effects.Resigned {
		c.requestRecordRead(now)
	}
	if v.ConfirmedAge > lease.ConfirmationOverdue && now.Sub(c.storeReadAt) > lease.ConfirmationOverdue {
		c.requestRecordRead(now)
	}
	c.reviewWaiters(now)
}

// applyDescribedRevision records the revision up to which the views have described the endpoints. If the view omits the
// description of an endpoint that is not known here, it requests a snapshot.
func (c *Coordinator) applyDescribedRevision(now time.Time, v *wire.View) {
	if len(v.DescribedEndpoints) > 0 && c.describedRevision == 0 {
		c.requestSnapshot(now)
		return
	}
	c.describedRevision = max(c.describedRevision, v.DescribedUpTo)
}

// applyBareView applies a view with keys that the planner sends directly to this instance, in addition to the views that a
// gatherer forwards.
func (c *Coordinator) applyBareView(now time.Time, v *wire.View) {
	c.follower.ApplyBare(now, v)
	c.applyItems(now, c.originOfView(now, v), v.Items)
	if c.recordKeysRequest(v) || len(v.Items) > 0 {
		c.acknowledge(now)
	}
}

// recordKeysRequest records and reports whether the planner requests the keys that it lacks from this instance.
func (c *Coordinator) recordKeysRequest(v *wire.View) bool {
	requested := v.KeysRequestedFrom == c.options.Instance
	c.follower.keysRequested = c.follower.keysRequested || requested
	return requested
}

// snapshotRetryPause is the time to wait for a snapshot before it is requested again.
const snapshotRetryPause = time.Second

// takeSnapshotRequest reports whether the next report requests a snapshot, and records the request.
func (c *Coordinator) takeSnapshotRequest(now time.Time) bool {
	if !c.follower.needsSnapshot || now.Sub(c.follower.snapshotRequestedAt) < snapshotRetryPause {
		return false
	}
	c.follower.snapshotRequestedAt = now
	return true
}

// requestSnapshot reports to the planner that views are missing here. It does so once until a snapshot is received.
func (c *Coordinator) requestSnapshot(now time.Time) {
	if c.follower.needsSnapshot || c.follower.stream == nil {
		return
	}
	c.follower.needsSnapshot = true
	c.gathering.forwarder = ""
	c.requestReport(now)
}

// originOfView returns the origin of the keys in a view. The keys are as old as the view states plus the time for which
// the view was in transit.
func (c *Coordinator) originOfView(now time.Time, v *wire.View) follow.Origin {
	origin := c.keysCompleteness.Origin(follow.FromPlanner, v.ConfigurationRevision)
	made, known := c.follower.BuiltAfter()
	if v.Bare {
		made, known = c.follower.BareBuiltAfter(now, v)
	}
	if v.KeysAge <= 0 || !known {
		return origin
	}
	return origin.NotBefore(made.Add(-v.KeysAge))
}

// applyViewTotals applies the in-flight requests of the other instances. A heartbeat lists all of them.
func (c *Coordinator) applyViewTotals(now time.Time, v *wire.View) {
	if v.Heartbeat {
		c.resetOthersInFlight()
		c.othersInFlightAt = now.Add(-c.follower.Delay - v.TotalsAge)
	}
	for _, total := range v.Totals {
		c.setOthersInFlight(total.ID, member.InFlight{Requests: total.Count, Unread: total.Unread}, c.follower.inFlight[total.ID])
	}
}

// resetOthersInFlight clears the in-flight requests of the other instances.
func (c *Coordinator) resetOthersInFlight() {
	for _, status := range c.directory.Endpoints() {
		status.ReportedRequests, status.OthersRequests, status.OthersUnread = 0, 0, 0
	}
}

// setOthersInFlight sets the in-flight requests of the other instances at an endpoint: the total of all instances minus
// this instance's part of that total.
func (c *Coordinator) setOthersInFlight(id deployment.EndpointID, total, own member.InFlight) {
	if status := c.directory.Endpoint(id); status != nil {
		status.ReportedRequests = own.Requests
		status.OthersRequests = max(0, total.Requests-own.Requests)
		status.OthersUnread = max(0, total.Unread-own.Unread)
	}
}

// applyForecasts applies the forecasts of adapters that are being loaded. A heartbeat lists all of them.
func (c *Coordinator) applyForecasts(now time.Time, v *wire.View) {
	if v.Heartbeat {
		c.forecasts.Reset(v.Backlogs)
	}
	for _, forecast := range v.Forecasts {
		c.forecasts.Set(forecast.Key(), now.Add(forecast.Remaining))
	}
}

// acknowledge reports that a view or keys were applied. The report is sent at once if the last report is old enough.
func (c *Coordinator) acknowledge(now time.Time) {
	if c.reportSchedule.RequestAcknowledge(now, c.follower.Members) {
		c.sendReport(now)
	}
}

func (c *Coordinator) applyViewEndpoints(v *wire.View) {
	listed := make(map[deployment.EndpointID]bool, len(v.Endpoints))
	for i, endpoint := range v.Descriptions() {
		listed[endpoint.ID] = true
		c.putEndpoint(endpoint, v.Endpoints[i].Revision)
		if status := c.directory.Endpoint(endpoint.ID); status != nil && status.Revision <= v.Endpoints[i].Revision {
			c.directory.SetOffered(endpoint.ID, endpoint.Models, endpoint.Adapters)
		}
	}
	c.applyKnownEndpoints(v)
	for _, change := range v.CopyChanges {
		if !c.hasNewerDescription(v, change.ID) {
			c.directory.SetCopy(change.ID, deployment.Adapter{Model: change.Model, Name: change.Name}, change.Version)
		}
	}
	c.markCopiesFromPeers()
	for _, id := range v.UnchangedEndpoints {
		listed[id] = true
	}
	for _, known := range v.DescribedEndpoints {
		for _, id := range known.IDs {
			listed[id] = true
		}
	}
	for _, removed := range v.Removed {
		c.removeEndpoint(removed.ID, removed.Revision)
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

// applyKnownEndpoints applies the software and the models on offer at endpoints that a snapshot lists without descriptions, because the
// planner assumes that this instance has them. The copies are applied afterwards. If an endpoint is not known here, a
// snapshot that describes all endpoints is requested.
func (c *Coordinator) applyKnownEndpoints(v *wire.View) {
	for i, known := range v.DescribedEndpoints {
		for _, id := range known.IDs {
			if c.directory.Endpoint(id) == nil {
				c.describedRevision = 0
				continue
			}
			if !c.hasNewerDescription(v, id) {
				c.directory.SetOffered(id, known.Models, nil)
				c.directory.LearnSoftware(id, v.DescribedSoftwareOf(i))
			}
		}
	}
}

// hasNewerDescription reports whether this instance has a later description of an endpoint than a snapshot without
// descriptions. The endpoint may have restarted since, and then holds nothing of what the view lists.
func (c *Coordinator) hasNewerDescription(v *wire.View, id deployment.EndpointID) bool {
	status := c.directory.Endpoint(id)
	return len(v.DescribedEndpoints) > 0 && v.DescribedUpTo > 0 && status != nil && status.Revision > v.DescribedUpTo
}
