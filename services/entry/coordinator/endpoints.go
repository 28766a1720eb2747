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
	// endpointWatchPause is the planner's pause after a watch that returned changes, so that more of them come in one answer: longer trades
	// later changes for fewer calls.
	endpointWatchPause = 450 * time.Millisecond
	// endpointPollPause is the pause between readings while the planner is silent.
	endpointPollPause = time.Second
	// mostStretch is how many times longer an instance's own pause gets, at most, in a large fleet.
	mostStretch = 2
	// idlePause is how often an instance that follows looks whether the planner is silent.
	idlePause = 200 * time.Millisecond
)

// followEndpoints reads the endpoints' keys once, and later as its mode demands.
func (c *Coordinator) followEndpoints() {
	watched := int64(0)
	former := follow.ReadByPolling
	for c.context.Err() == nil {
		reader := c.endpointReader()
		if reader == follow.ReadByPolling && former != reader {
			c.notePolling()
		}
		former = reader
		switch reader {
		case follow.ReadByPlanner:
			watched = 0
			c.sleep(idlePause)
		case follow.ReadByPolling:
			watched = 0
			c.pollEndpoints()
		case follow.ReadByWatching:
			watched = c.watchEndpoints(watched)
		}
	}
}

// pollEndpoints reads what is new of the endpoints and waits for the next reading. The pause counts from when this one was sent, as does
// the age of what it gives.
func (c *Coordinator) pollEndpoints() {
	sent := c.options.Now()
	if err := c.readNewEndpoints(); err != nil {
		c.sleep(min(c.failurePause(storeRetry), endpointPollPause))
		return
	}
	c.sleep(c.alonePause(endpointPollPause) - c.options.Now().Sub(sent))
}

// readNewEndpoints reads the changes since what this instance knows of the endpoints, or all of them where it knows nothing or the store
// has forgotten the changes. While a planner is lost all instances read them each second: in a large fleet all of them each time would be
// more than the store's link carries, so that no planner could confirm its lease.
func (c *Coordinator) readNewEndpoints() error {
	after := int64(0)
	c.loop.Call(func(time.Time) { after = c.describedUpTo })
	if after == 0 {
		_, err := c.readEndpoints()
		return err
	}
	sent := c.options.Now()
	events, next, err := c.watch(c.context, c.environment.EndpointPrefix, after, follow.NoWait)
	switch {
	case errors.Is(err, store.ErrCompacted):
		_, err = c.readEndpoints()
		return err
	case err != nil:
		c.noteStore("read new endpoints", err)
		return err
	}
	c.loop.Post(func(now time.Time) { c.applyEndpointEvents(now, sent, events, next) })
	return nil
}

// notePolling tells that this instance begins to read the endpoints' keys itself, and how old what it knows of them is.
func (c *Coordinator) notePolling() {
	var silence, age time.Duration
	c.loop.Call(func(now time.Time) {
		silence = now.Sub(c.following.ReceivedAt)
		age = c.endpointsAge(now)
	})
	c.options.Log.WithFields(map[string]any{
		"planner_silent_ms": silence.Milliseconds(), "endpoints_age_ms": age.Milliseconds(),
	}).Info("endpoints are read here, since the planner's views are too old")
}

// alonePause is the pause between two calls of an instance that reads the store by itself; in
// a large fleet it is up to twice as long, since all instances call at once then.
func (c *Coordinator) alonePause(pause time.Duration) time.Duration {
	stretched := pause
	c.loop.Call(func(time.Time) { stretched = min(c.pace(pause), mostStretch*pause) })
	return stretched
}

func (c *Coordinator) endpointReader() follow.Reader {
	reader := follow.ReadByPolling
	c.loop.Call(func(now time.Time) { reader = c.situation(now).Endpoints() })
	return reader
}

// readEndpoints reads all endpoints' keys and gives the revision to watch from.
func (c *Coordinator) readEndpoints() (int64, error) {
	sent := c.options.Now()
	items, revision, err := c.environment.Store.ReadAll(c.context, c.environment.EndpointPrefix, c.options.StoreTimeout)
	if err != nil {
		c.noteStore("read endpoints", err)
		return 0, err
	}
	c.loop.Post(func(now time.Time) { c.replaceEndpoints(now, sent, items, revision) })
	return revision, nil
}

// watchEndpoints does one step of the planner's watch and gives the revision to go on from.
func (c *Coordinator) watchEndpoints(after int64) int64 {
	if after == 0 {
		revision, err := c.readEndpoints()
		if err != nil {
			c.sleep(c.jitter(storeRetry))
			return 0
		}
		return revision
	}
	sent := c.options.Now()
	events, next, err := c.watch(c.context, c.environment.EndpointPrefix, after, follow.ShortWatch)
	if err != nil {
		if !errors.Is(err, store.ErrCompacted) {
			c.noteStore("watch endpoints", err)
			c.sleep(c.jitter(storeRetry))
		}
		return 0
	}
	c.loop.Post(func(now time.Time) { c.applyEndpointEvents(now, sent, events, next) })
	if len(events) > 0 {
		c.sleep(endpointWatchPause)
	}
	return next
}

// watch is one waiting call to the store.
func (c *Coordinator) watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+follow.WatchSlack)
	defer cancel()
	return c.environment.Store.Watch(ctx, prefix, after, wait)
}

func (c *Coordinator) replaceEndpoints(now, sent time.Time, items []store.Item, revision int64) {
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
	if !c.toldOfCopies {
		c.readUpTo = revision
	}
	c.describedUpTo = max(c.describedUpTo, revision)
	c.retireFormer(before)
	c.endpointsRead(now, sent)
	if c.planning != nil {
		c.planning.endpointsRevision = max(c.planning.endpointsRevision, revision)
	}
	for id := range before {
		if c.planning != nil && c.directory.Endpoint(id) == nil {
			c.planning.plans.RemoveEndpoint(id, revision)
		}
	}
	for _, endpoint := range endpoints {
		c.endpointChanged(now, endpoint.ID)
	}
}

// applyEndpointEvents takes in the events of a watch, up to a revision.
func (c *Coordinator) applyEndpointEvents(now, sent time.Time, events []store.Event, upTo int64) {
	c.describedUpTo = max(c.describedUpTo, upTo)
	if c.planning != nil {
		c.planning.endpointsRevision = max(c.planning.endpointsRevision, upTo)
	}
	for _, event := range events {
		if event.Deleted {
			c.removeEndpoint(c.environment.EndpointOf(event.Key), event.Revision)
			continue
		}
		endpoint, ok := c.parseEndpoint(event.Item)
		if !ok {
			// A whole reading would not name it either.
			c.removeEndpoint(c.environment.EndpointOf(event.Key), event.Revision)
			continue
		}
		if c.putEndpoint(endpoint, event.Revision) {
			c.endpointChanged(now, endpoint.ID)
		}
	}
	c.endpointsRead(now, sent)
}

// parseEndpoint reads a key that describes an endpoint; one that cannot be read is logged and passed over.
func (c *Coordinator) parseEndpoint(item store.Item) (deployment.Endpoint, bool) {
	endpoint, err := c.environment.ParseEndpoint(item)
	if err != nil {
		c.options.Log.WithError(err).WithField("key", item.Key).Warn("an endpoint's entry cannot be read")
	}
	return endpoint, err == nil
}

// endpointsRead notes that the endpoints are known as of the time a call was sent.
func (c *Coordinator) endpointsRead(now, sent time.Time) {
	c.endpointsKnown = true
	if sent.After(c.endpointsReadAt) {
		c.endpointsReadAt = sent
	}
	c.updateReady()
	c.reviewWaiters(now)
}

// endpointChanged passes a changed description on to the plan.
func (c *Coordinator) endpointChanged(now time.Time, id deployment.EndpointID) {
	status := c.directory.Endpoint(id)
	if c.planning == nil || status == nil {
		return
	}
	c.planning.plans.SetEndpoint(now, status.Endpoint, status.Revision)
}

// removeEndpoint forgets an endpoint that was gone at a revision, unless a later description of it is known.
func (c *Coordinator) removeEndpoint(id deployment.EndpointID, revision int64) {
	if !c.directory.Remove(id, revision) {
		return
	}
	c.options.Log.WithField("endpoint", id).Info("endpoint gone")
	c.environment.Retire(id)
	if c.planning != nil {
		c.planning.plans.RemoveEndpoint(id, revision)
	}
}

// putEndpoint takes in one description and tells whether anything changed.
func (c *Coordinator) putEndpoint(endpoint deployment.Endpoint, revision int64) bool {
	former := c.directory.Endpoint(endpoint.ID)
	changed := c.directory.Put(endpoint, revision)
	if former != nil {
		c.retireIfFormer(former)
	}
	return changed
}

// retireFormer logs and retires the endpoints of before that are gone or started anew. It is for a directory that was replaced;
// removeEndpoint and putEndpoint do the same for one endpoint.
func (c *Coordinator) retireFormer(before map[deployment.EndpointID]*directory.EndpointStatus) {
	for _, former := range before {
		c.retireIfFormer(former)
	}
}

// retireIfFormer logs and retires an endpoint of which nothing, or another start, is known by now.
func (c *Coordinator) retireIfFormer(former *directory.EndpointStatus) {
	present := c.directory.Endpoint(former.ID)
	switch present {
	case former:
		return
	case nil:
		c.options.Log.WithField("endpoint", former.ID).Info("endpoint gone")
	default:
		c.options.Log.WithFields(logrus.Fields{"endpoint": former.ID, "born": present.Born}).Info("endpoint started anew")
	}
	c.environment.Retire(former.ID)
}
