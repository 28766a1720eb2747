// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

const (
	// endpointWatchPause is the planner's pause after a watch that returned changes, so that the next watch returns
	// several changes together. A longer pause makes fewer calls and delivers changes later.
	endpointWatchPause = 450 * time.Millisecond
	// endpointPollInterval is the interval between two reads of the endpoints while the planner is silent.
	endpointPollInterval = time.Second
	// maxPauseStretch is the factor by which the poll interval grows at most in a large fleet.
	maxPauseStretch = 2
	// plannerCheckInterval is the interval at which a following instance checks whether the planner is silent.
	plannerCheckInterval = 200 * time.Millisecond
)

// followEndpoints reads the endpoints' keys, by polling or by watching, whenever this instance cannot rely on the
// planner's views for them.
func (c *Coordinator) followEndpoints() {
	watched := int64(0)
	former := follow.ReadByPolling
	for c.context.Err() == nil {
		reader := c.endpointReader()
		if reader == follow.ReadByPolling && former != reader {
			c.logPollingStart()
		}
		former = reader
		switch reader {
		case follow.ReadByPlanner:
			watched = 0
			c.sleep(plannerCheckInterval)
		case follow.ReadByPolling:
			watched = 0
			c.pollEndpoints()
		case follow.ReadByWatching:
			watched = c.watchEndpoints(watched)
		}
	}
}

// pollEndpoints reads the changes of the endpoints and waits for the next poll. The interval counts from the time at which
// the call was sent, and so does the age of the data.
func (c *Coordinator) pollEndpoints() {
	sentAt := c.options.Now()
	if err := c.readNewEndpoints(); err != nil {
		c.sleep(min(c.failurePause(storeRetryPause), endpointPollInterval))
		return
	}
	c.sleep(c.stretchPollPause(endpointPollInterval) - c.options.Now().Sub(sentAt))
}

// readNewEndpoints reads the changes since the revision that this instance knows. It reads all endpoints if this instance
// knows none or if the store has compacted the changes. While a planner is lost, all instances poll the endpoints each
// second. In a large fleet, full reads would exceed the capacity of the store's link, so that no planner could confirm its
// lease.
func (c *Coordinator) readNewEndpoints() error {
	after := int64(0)
	c.loop.Call(func(time.Time) { after = c.describedRevision })
	if after == 0 {
		_, err := c.readEndpoints()
		return err
	}
	sentAt := c.options.Now()
	events, next, err := c.watch(c.context, c.environment.EndpointPrefix, after, follow.NoWait)
	switch {
	case errors.Is(err, store.ErrCompacted):
		_, err = c.readEndpoints()
		return err
	case err != nil:
		c.recordStoreFailure("read new endpoints", err)
		return err
	}
	c.loop.Post(func(now time.Time) { c.applyEndpointEvents(now, sentAt, events, next) })
	return nil
}

// logPollingStart logs that this instance begins to read the endpoints' keys itself, with the age of its present data.
func (c *Coordinator) logPollingStart() {
	var silence, age time.Duration
	c.loop.Call(func(now time.Time) {
		silence = now.Sub(c.follower.ReceivedAt)
		age = c.endpointsAge(now)
	})
	c.options.Log.WithFields(map[string]any{
		"planner_silent_ms": silence.Milliseconds(), "endpoints_age_ms": age.Milliseconds(),
	}).Info("reading the endpoints from the store, since the planner's views are too old")
}

// stretchPollPause returns the pause between two polls of an instance that reads the store itself. In a large fleet it is
// up to twice as long, because all instances poll then.
func (c *Coordinator) stretchPollPause(pause time.Duration) time.Duration {
	stretched := pause
	c.loop.Call(func(time.Time) { stretched = min(c.stretchForFleet(pause), maxPauseStretch*pause) })
	return stretched
}

func (c *Coordinator) endpointReader() follow.Reader {
	reader := follow.ReadByPolling
	c.loop.Call(func(now time.Time) { reader = c.situation(now).Endpoints() })
	return reader
}

// readEndpoints reads all endpoints' keys and returns the revision to watch from.
func (c *Coordinator) readEndpoints() (int64, error) {
	sentAt := c.options.Now()
	items, revision, err := c.environment.Store.ReadAll(c.context, c.environment.EndpointPrefix, c.options.StoreTimeout)
	if err != nil {
		c.recordStoreFailure("read endpoints", err)
		return 0, err
	}
	c.loop.Post(func(now time.Time) { c.replaceEndpoints(now, sentAt, items, revision) })
	return revision, nil
}

// watchEndpoints makes one call of the planner's watch and returns the revision to continue from. It returns 0 if all
// endpoints have to be read again.
func (c *Coordinator) watchEndpoints(after int64) int64 {
	if after == 0 {
		revision, err := c.readEndpoints()
		if err != nil {
			c.sleep(c.jitter(storeRetryPause))
			return 0
		}
		return revision
	}
	sentAt := c.options.Now()
	events, next, err := c.watch(c.context, c.environment.EndpointPrefix, after, follow.ShortWatch)
	if err != nil {
		if !errors.Is(err, store.ErrCompacted) {
			c.recordStoreFailure("watch endpoints", err)
			c.sleep(c.jitter(storeRetryPause))
		}
		return 0
	}
	c.loop.Post(func(now time.Time) { c.applyEndpointEvents(now, sentAt, events, next) })
	if len(events) > 0 {
		c.sleep(endpointWatchPause)
	}
	return next
}

// watch makes one watch call to the store, with a timeout.
func (c *Coordinator) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+follow.WatchSlack)
	defer cancel()
	return c.environment.Store.Watch(ctx, prefix, after, wait)
}

func (c *Coordinator) replaceEndpoints(now, sentAt time.Time, items []store.Item, revision int64) {
	endpoints := make([]deployment.Endpoint, 0, len(items))
	revisions := make([]int64, 0, len(items))
	for _, item := range items {
		endpoint, ok := c.parseEndpoint(item)
		if !ok {
			continue
		}
		endpoints = append(endpoints, endpoint)
		revisions = append(revisions, item.Revision)
	}
	before := maps.Clone(c.directory.Endpoints())
	c.directory.Replace(endpoints, revisions, revision)
	if !c.copiesFromPeers {
		c.endpointsReadRevision = revision
	}
	c.describedRevision = max(c.describedRevision, revision)
	c.retireReplaced(before)
	c.markEndpointsRead(now, sentAt)
	if c.planner != nil {
		c.planner.endpointsRevision = max(c.planner.endpointsRevision, revision)
	}
	for id := range before {
		if c.planner != nil && c.directory.Endpoint(id) == nil {
			c.planner.plans.RemoveEndpoint(id, revision)
		}
	}
	for _, endpoint := range endpoints {
		c.updatePlanEndpoint(now, endpoint.ID)
	}
}

// applyEndpointEvents applies the events of a watch that covers all changes up to a revision.
func (c *Coordinator) applyEndpointEvents(now, sentAt time.Time, events []store.Event, upTo int64) {
	c.describedRevision = max(c.describedRevision, upTo)
	if c.planner != nil {
		c.planner.endpointsRevision = max(c.planner.endpointsRevision, upTo)
	}
	for _, event := range events {
		if event.Deleted {
			c.removeEndpoint(c.environment.EndpointOf(event.Key), event.Revision)
			continue
		}
		endpoint, ok := c.parseEndpoint(event.Item)
		if !ok {
			// A full read of the keys would not list this endpoint either.
			c.removeEndpoint(c.environment.EndpointOf(event.Key), event.Revision)
			continue
		}
		if c.putEndpoint(endpoint, event.Revision) {
			c.updatePlanEndpoint(now, endpoint.ID)
		}
	}
	c.markEndpointsRead(now, sentAt)
}

// parseEndpoint parses a key that describes an endpoint. A key that cannot be parsed is logged and ignored.
func (c *Coordinator) parseEndpoint(item store.Item) (deployment.Endpoint, bool) {
	endpoint, err := c.environment.ParseEndpoint(item)
	if err != nil {
		c.options.Log.WithError(err).WithField("key", item.Key).Warn("an endpoint's entry cannot be read")
	}
	return endpoint, err == nil
}

// markEndpointsRead records that the endpoints are known as of the time at which a call was sent.
func (c *Coordinator) markEndpointsRead(now, sentAt time.Time) {
	c.endpointsKnown = true
	if sentAt.After(c.endpointsReadAt) {
		c.endpointsReadAt = sentAt
	}
	c.updateReady()
	c.reviewWaiters(now)
}

// updatePlanEndpoint passes a changed description on to the plan.
func (c *Coordinator) updatePlanEndpoint(now time.Time, id deployment.EndpointID) {
	status := c.directory.Endpoint(id)
	if c.planner == nil || status == nil {
		return
	}
	c.planner.plans.SetEndpoint(now, status.Endpoint, status.Revision)
}

// removeEndpoint removes an endpoint that was gone at a revision, unless a later description of it is known.
func (c *Coordinator) removeEndpoint(id deployment.EndpointID, revision int64) {
	if !c.directory.Remove(id, revision) {
		return
	}
	c.options.Log.WithField("endpoint", id).Info("endpoint gone")
	c.environment.Retire(id)
	if c.planner != nil {
		c.planner.plans.RemoveEndpoint(id, revision)
	}
}

// putEndpoint applies one description and reports whether anything changed.
func (c *Coordinator) putEndpoint(endpoint deployment.Endpoint, revision int64) bool {
	former := c.directory.Endpoint(endpoint.ID)
	changed := c.directory.Put(endpoint, revision)
	if former != nil {
		c.retireIfReplaced(former)
	}
	return changed
}

// retireReplaced logs and retires the given former endpoints that are gone or were restarted. It is used after the whole
// directory was replaced; removeEndpoint and putEndpoint do the same for one endpoint.
func (c *Coordinator) retireReplaced(before map[deployment.EndpointID]*directory.EndpointStatus) {
	for _, former := range before {
		c.retireIfReplaced(former)
	}
}

// retireIfReplaced logs and retires an endpoint that is gone from the directory or whose entry there describes another
// incarnation.
func (c *Coordinator) retireIfReplaced(former *directory.EndpointStatus) {
	present := c.directory.Endpoint(former.ID)
	switch present {
	case former:
		return
	case nil:
		c.options.Log.WithField("endpoint", former.ID).Info("endpoint gone")
	default:
		c.options.Log.WithFields(logrus.Fields{"endpoint": former.ID, "born": present.Born}).Info("endpoint restarted")
	}
	c.environment.Retire(former.ID)
}
