// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

const (
	// storeRetryPause is the mean pause after a failed call to the store, in a small fleet and at the planner.
	storeRetryPause = 250 * time.Millisecond
	// maxFailurePause is the longest mean pause after a failed call in a large fleet. A longer pause reduces the load on a
	// store that fails. A shorter pause notices its recovery sooner, which must happen well within the time in which a
	// change has to be in force.
	maxFailurePause = 3 * time.Second
)

// failurePause returns a random pause after a failed call to the store, with the given mean in a small fleet. A failing
// store mostly fails for all instances, and one instance that it answers is sufficient. So in a large fleet each instance
// pauses for longer, and the fleet together sends no more calls than a small one. The planner is exempt, because all other
// instances rely on it.
func (c *Coordinator) failurePause(mean time.Duration) time.Duration {
	pause := mean
	c.loop.Call(func(time.Time) {
		if c.planner == nil {
			pause = max(mean, min(c.stretchForFleet(mean), maxFailurePause))
		}
	})
	return c.jitter(pause)
}

// followConfiguration reads the operators' keys, then watches them.
func (c *Coordinator) followConfiguration() {
	for c.context.Err() == nil {
		sentAt := c.options.Now()
		items, revision, err := c.environment.Store.ReadAll(c.context, c.environment.ConfigurationPrefix, c.options.StoreTimeout)
		if err != nil {
			c.recordStoreFailure("read configuration", err)
			c.askSeeds()
			c.sleep(c.failurePause(storeRetryPause))
			continue
		}
		c.loop.Post(func(now time.Time) {
			c.applyItems(now, c.keysCompleteness.Origin(follow.FromRead, revision), items)
			c.keysCompleteness.RecordRead(sentAt)
		})
		c.watchConfiguration(revision)
	}
}

// watchConfiguration watches the operators' keys after a revision. It returns when the keys have to be read again.
func (c *Coordinator) watchConfiguration(after int64) {
	var watch follow.Watch
	for c.context.Err() == nil {
		if c.waitWhilePlannerWatches() {
			return
		}
		answer, err := c.watchConfigurationOnce(after)
		step := watch.RecordResult(err)
		if err != nil {
			c.loop.Post(func(time.Time) { c.keysCompleteness.RecordFailure() })
		}
		if err != nil && !errors.Is(err, store.ErrCompacted) {
			c.recordStoreFailure("watch configuration", err)
		}
		switch step {
		case follow.ReadAll:
			return
		case follow.RetryWatch:
			c.sleep(c.failurePause(storeRetryPause))
		case follow.Apply:
			after = answer.next
			c.loop.Post(func(now time.Time) { c.applyWatchResult(now, answer) })
		}
	}
}

// plannerWatchCheckInterval is the interval between two checks whether this instance still relies on the planner's watch
// of the operators' keys.
const plannerWatchCheckInterval = 100 * time.Millisecond

// waitWhilePlannerWatches waits for as long as this instance relies on the planner's watch of the operators' keys. It
// reports whether it had to wait.
func (c *Coordinator) waitWhilePlannerWatches() bool {
	waited := false
	for c.plannerWatches() {
		waited = true
		c.sleep(plannerWatchCheckInterval)
	}
	return waited
}

func (c *Coordinator) plannerWatches() bool {
	plannerWatches := false
	c.loop.Call(func(now time.Time) { plannerWatches = c.situation(now).DelegatesKeys() })
	return plannerWatches && c.context.Err() == nil
}

// watchResult is the result of one watch of the operators' keys that returned no error.
type watchResult struct {
	follow.WatchAnswer
	events []store.Event
	// next is the revision from which the next watch continues.
	next int64
	// canceledHere reports that this instance canceled the watch before the store answered.
	canceledHere bool
}

// applyWatchResult applies the result of a watch of the operators' keys.
func (c *Coordinator) applyWatchResult(now time.Time, answer watchResult) {
	c.applyItems(now, c.keysCompleteness.OriginOf(answer.WatchAnswer, answer.next), eventItems(answer.events))
	if answer.canceledHere {
		c.keysCompleteness.RecordFailure()
		return
	}
	c.keysCompleteness.RecordWatch(answer.WatchAnswer)
}

// watchConfigurationOnce makes one watch call. A long watch is canceled when the planner falls silent or when this
// instance becomes the planner.
func (c *Coordinator) watchConfigurationOnce(after int64) (watchResult, error) {
	ctx, cancel := context.WithCancel(c.context)
	defer cancel()
	wait := follow.ShortWatch
	c.loop.Call(func(now time.Time) {
		situation := c.situation(now)
		wait = situation.ConfigurationWait()
		if situation.ReliesOnPlanner() {
			c.cancelLongWatch = cancel
		}
	})
	sentAt := c.options.Now()
	events, next, err := c.watch(ctx, c.environment.ConfigurationPrefix, after, wait)
	if err != nil && ctx.Err() != nil {
		return watchResult{next: after, canceledHere: true}, nil
	}
	answer := follow.WatchAnswer{
		Sent: sentAt, Received: c.options.Now(), Wait: wait, Empty: len(events) == 0, Bytes: eventBytes(events),
	}
	return watchResult{WatchAnswer: answer, events: events, next: next}, err
}

// situation returns the state that decides which instance reads the store.
func (c *Coordinator) situation(now time.Time) follow.Situation {
	lag, _ := c.keysLag.Observe(now, c.keys.Revision(), c.follower.PlannerRevision)
	return follow.Situation{
		Planning: c.planner != nil, PlannerFresh: c.follower.Fresh(now), EndpointsKnown: c.endpointsKnown,
		ViewReceivedRecently: now.Sub(c.follower.ReceivedAt)+c.follower.Delay < follow.MaxPlannerSilence, WatchedNearby: c.gatheredByAnother(), KeysLag: lag,
	}
}

// cancelUnreliableWatch cancels a long watch that must not be relied on any more.
func (c *Coordinator) cancelUnreliableWatch(now time.Time) {
	if c.cancelLongWatch != nil && !c.situation(now).ReliesOnPlanner() {
		c.cancelLongWatch()
		c.cancelLongWatch = nil
	}
}

// eventBytes returns the total size of the values of events in bytes.
func eventBytes(events []store.Event) int {
	size := 0
	for _, event := range events {
		size += len(event.Value)
	}
	return size
}

// eventItems returns the newest item of each key that was written. Of several changes in quick succession only the last
// one is parsed and applied.
func eventItems(events []store.Event) []store.Item {
	newest := make(map[string]int, len(events))
	items := make([]store.Item, 0, len(events))
	for _, event := range events {
		if event.Deleted {
			continue
		}
		index, known := newest[event.Key]
		switch {
		case !known:
			newest[event.Key] = len(items)
			items = append(items, event.Item)
		case event.Revision > items[index].Revision:
			items[index] = event.Item
		}
	}
	return items
}

// applyItems applies operators' keys from the store or from a peer. Items older than the known ones are ignored, so that
// no key ever reverts.
func (c *Coordinator) applyItems(now time.Time, origin follow.Origin, items []store.Item) {
	before := c.keys.Revision()
	changed := false
	for _, item := range items {
		if !c.keys.Put(item) {
			continue
		}
		changed = true
		if item.Key == c.environment.ConfigurationKey {
			c.applyConfiguration(now, origin, item)
			continue
		}
		c.applyVersion(now, origin, item)
	}
	if changed {
		c.keys.RecordChange(origin.Since)
	}
	if len(items) > 0 {
		c.keys.MarkComplete(origin.UpTo)
	}
	if c.keys.Revision() > before && c.follower.stream != nil {
		// The planner keeps sending keys to members that have not acknowledged them.
		c.acknowledge(now)
	}
	c.updateReady()
}

// applyConfiguration puts a configuration in force. One that cannot be parsed is logged. One with a lower version than the
// configuration in force is ignored without a log line.
func (c *Coordinator) applyConfiguration(now time.Time, origin follow.Origin, item store.Item) {
	configuration, err := c.environment.ParseConfiguration(item.Value)
	if err != nil {
		c.options.Log.WithError(err).WithField("revision", item.Revision).Error("the configuration cannot be read; the former one stays")
		return
	}
	if current := c.current.Load(); current != nil && current.Version > configuration.Version {
		return
	}
	c.current.Store(configuration)
	if c.options.ObserveConfiguration != nil {
		c.options.ObserveConfiguration(now, configuration)
	}
	c.logConfiguration(now, origin, configuration.Version, item)
	if c.planner != nil {
		c.planner.plans.SetConfiguration(now, configuration, c.versions.All())
	}
}

// applyVersion applies a key that names an adapter's version. One that cannot be parsed or that names an older version is
// ignored without a log line.
func (c *Coordinator) applyVersion(now time.Time, origin follow.Origin, item store.Item) {
	adapter, version, ok := c.environment.ParseVersion(item)
	if !ok || !c.versions.Put(now, origin.Since, adapter, version) {
		return
	}
	c.logVersion(now, origin, adapter, version)
	c.pendingStarts.ApplyVersion(adapter, version, c.beginDeadline(now, adapter, version-1))
	if c.planner != nil {
		c.planner.plans.SetVersion(now, adapter, version)
	}
}

// logConfiguration logs which configuration is in force, from which source this instance received it, for how long it may already have
// been acknowledged to operators, and the age that is assumed for it.
func (c *Coordinator) logConfiguration(now time.Time, origin follow.Origin, version int64, item store.Item) {
	fields := logrus.Fields{"version": version, "revision": item.Revision, "bytes": len(item.Value), "source": origin.Source}
	if silence, known := origin.TimeSinceProof(now); known {
		fields["silence_ms"] = silence.Milliseconds()
	}
	if !origin.Since.IsZero() {
		fields["age_ms"] = now.Sub(origin.Since).Milliseconds()
	}
	c.options.Log.WithFields(fields).Info("configuration in force")
}

// logVersion logs which version was named, from which source this instance received it, for how long it may already have
// been acknowledged to operators, and the age that is assumed for it.
func (c *Coordinator) logVersion(now time.Time, origin follow.Origin, adapter deployment.Adapter, version int64) {
	fields := logrus.Fields{"adapter": adapter.String(), "version": version, "source": origin.Source}
	if silence, known := origin.TimeSinceProof(now); known {
		fields["silence_ms"] = silence.Milliseconds()
	}
	if !origin.Since.IsZero() {
		fields["age_ms"] = now.Sub(origin.Since).Milliseconds()
	}
	c.options.Log.WithFields(fields).Info("version named")
}
