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
	// storeRetry is the pause after a failed call to the store, in a small fleet and at the planner.
	storeRetry = 250 * time.Millisecond
	// mostFailurePause is the longest mean pause after a failed call in a large fleet: longer spares calls to a store that is down, shorter
	// notices sooner that it answers again, which must be well within the time in which a change has to be in force.
	mostFailurePause = 3 * time.Second
)

// failurePause is the pause after a call to the store that failed, drawn about the usual one. Where the store fails it mostly fails
// all, and one instance that it answers is enough: so that a fleet together asks no more often than a small one, each pauses for longer,
// but for the planner, on which all others rely.
func (c *Coordinator) failurePause(usual time.Duration) time.Duration {
	pause := usual
	c.loop.Call(func(time.Time) {
		if c.planning == nil {
			pause = max(usual, min(c.pace(usual), mostFailurePause))
		}
	})
	return c.jitter(pause)
}

// followConfiguration reads the operators' keys, then watches them.
func (c *Coordinator) followConfiguration() {
	for c.context.Err() == nil {
		sent := c.options.Now()
		items, revision, err := c.environment.Store.ReadAll(c.context, c.environment.ConfigurationPrefix, c.options.StoreTimeout)
		if err != nil {
			c.noteStore("read configuration", err)
			c.askSeeds()
			c.sleep(c.failurePause(storeRetry))
			continue
		}
		c.loop.Post(func(now time.Time) {
			c.applyItems(now, c.complete.Origin(follow.FromReading, revision), items)
			c.complete.Read(sent)
		})
		c.watchConfiguration(revision)
	}
}

// watchConfiguration returns when the keys have to be read anew.
func (c *Coordinator) watchConfiguration(after int64) {
	var watch follow.Watch
	for c.context.Err() == nil {
		if c.rest() {
			return
		}
		answer, err := c.watchConfigurationOnce(after)
		step := watch.Answered(err)
		if err != nil {
			c.loop.Post(func(time.Time) { c.complete.Failed() })
		}
		if err != nil && !errors.Is(err, store.ErrCompacted) {
			c.noteStore("watch configuration", err)
		}
		switch step {
		case follow.ReadAnew:
			return
		case follow.WatchAgain:
			c.sleep(c.failurePause(storeRetry))
		case follow.Apply:
			after = answer.next
			c.loop.Post(func(now time.Time) { c.applyWatched(now, answer) })
		}
	}
}

// restPause is the pause between two looks whether this instance still leaves the operators' keys to the planner.
const restPause = 100 * time.Millisecond

// rest waits for as long as this instance leaves the operators' keys to the planner, and tells whether it did.
func (c *Coordinator) rest() bool {
	rested := false
	for c.rests() {
		rested = true
		c.sleep(restPause)
	}
	return rested
}

func (c *Coordinator) rests() bool {
	rests := false
	c.loop.Call(func(now time.Time) { rests = c.situation(now).Rests() })
	return rests && c.context.Err() == nil
}

// watched is how one watch of the operators' keys ended without an error.
type watched struct {
	follow.WatchAnswer
	events []store.Event
	// next is the revision from which the next watch goes on.
	next int64
	// endedHere says that this instance ended the watch: the store did not answer it.
	endedHere bool
}

// applyWatched takes in how a watch of the operators' keys ended.
func (c *Coordinator) applyWatched(now time.Time, answer watched) {
	c.applyItems(now, c.complete.OriginOf(answer.WatchAnswer, answer.next), eventItems(answer.events))
	if answer.endedHere {
		c.complete.Failed()
		return
	}
	c.complete.Watched(answer.WatchAnswer)
}

// watchConfigurationOnce makes one waiting call; a long one ends early when the planner falls
// silent or this instance becomes the planner.
func (c *Coordinator) watchConfigurationOnce(after int64) (watched, error) {
	ctx, cancel := context.WithCancel(c.context)
	defer cancel()
	wait := follow.ShortWatch
	c.loop.Call(func(now time.Time) {
		situation := c.situation(now)
		wait = situation.ConfigurationWait()
		if situation.ReliesOnPlanner() {
			c.endLongWatch = cancel
		}
	})
	sent := c.options.Now()
	events, next, err := c.watch(ctx, c.environment.ConfigurationPrefix, after, wait)
	if err != nil && ctx.Err() != nil {
		return watched{next: after, endedHere: true}, nil
	}
	answer := follow.WatchAnswer{
		Sent: sent, Received: c.options.Now(), Wait: wait, Empty: len(events) == 0, Bytes: eventBytes(events),
	}
	return watched{WatchAnswer: answer, events: events, next: next}, err
}

// situation is what decides who reads the store for this instance.
func (c *Coordinator) situation(now time.Time) follow.Situation {
	lag, _ := c.keysLag.Observe(now, c.keys.Revision(), c.following.PlannerRevision)
	return follow.Situation{
		Planning: c.planning != nil, PlannerFresh: c.following.Fresh(now), EndpointsKnown: c.endpointsKnown,
		PlannerHeard: now.Sub(c.following.ReceivedAt)+c.following.Delay < follow.RestSilence, WatchedNearby: c.gatheredByAnother(), KeysLag: lag,
	}
}

// checkWatch ends a long watch that cannot be relied on any more.
func (c *Coordinator) checkWatch(now time.Time) {
	if c.endLongWatch != nil && !c.situation(now).ReliesOnPlanner() {
		c.endLongWatch()
		c.endLongWatch = nil
	}
}

// eventBytes sums the values of events, in bytes.
func eventBytes(events []store.Event) int {
	size := 0
	for _, event := range events {
		size += len(event.Value)
	}
	return size
}

// eventItems gives the newest item of each key that was written, so that of changes in quick succession one is read and put in force.
func eventItems(events []store.Event) []store.Item {
	newest := make(map[string]int, len(events))
	items := make([]store.Item, 0, len(events))
	for _, event := range events {
		if event.Deleted {
			continue
		}
		place, known := newest[event.Key]
		switch {
		case !known:
			newest[event.Key] = len(items)
			items = append(items, event.Item)
		case event.Revision > items[place].Revision:
			items[place] = event.Item
		}
	}
	return items
}

// applyItems takes in the operators' keys from the store or from a peer; older ones are
// passed over, so that nothing ever reverts.
func (c *Coordinator) applyItems(now time.Time, origin follow.Origin, items []store.Item) {
	before := c.keys.Revision()
	taken := false
	for _, item := range items {
		if !c.keys.Take(item) {
			continue
		}
		taken = true
		if item.Key == c.environment.ConfigurationKey {
			c.applyConfiguration(now, item)
			continue
		}
		c.applyVersion(now, origin, item)
	}
	if taken {
		c.keys.Changed(origin.Since)
	}
	if len(items) > 0 {
		c.keys.Complete(origin.UpTo)
	}
	if c.keys.Revision() > before && c.following.stream != nil {
		// The planner passes keys on to those who have not said that they have them.
		c.acknowledge(now)
	}
	c.updateReady()
}

// applyConfiguration puts a configuration in force. One that cannot be read is logged; one of a lower version than that
// in force is passed over without a log line.
func (c *Coordinator) applyConfiguration(now time.Time, item store.Item) {
	configuration, err := c.environment.ParseConfiguration(item.Value)
	if err != nil {
		c.options.Log.WithError(err).WithField("revision", item.Revision).Error("the configuration cannot be read; the former one stays")
		return
	}
	if current := c.current.Load(); current != nil && current.Version > configuration.Version {
		return
	}
	c.current.Store(configuration)
	c.options.Log.WithFields(map[string]any{
		"version": configuration.Version, "revision": item.Revision, "bytes": len(item.Value),
	}).Info("configuration in force")
	if c.planning != nil {
		c.planning.plans.SetConfiguration(now, configuration, c.versions.All())
	}
}

// applyVersion takes in a key that names an adapter's version. One that cannot be read, or names an older version, is
// passed over without a log line.
func (c *Coordinator) applyVersion(now time.Time, origin follow.Origin, item store.Item) {
	adapter, version, ok := c.environment.ParseVersion(item)
	if !ok || !c.versions.Name(now, origin.Since, adapter, version) {
		return
	}
	c.logVersion(now, origin, adapter, version)
	c.unbegun.Named(adapter, version, c.beginBy(adapter, version-1))
	if c.planning != nil {
		c.planning.plans.SetVersion(now, adapter, version)
	}
}

// logVersion tells which version was named, how that came, for how long it may have been acknowledged already, and how old it counts.
func (c *Coordinator) logVersion(now time.Time, origin follow.Origin, adapter deployment.Adapter, version int64) {
	fields := logrus.Fields{"adapter": adapter.String(), "version": version, "source": origin.Source}
	if silence, known := origin.Silence(now); known {
		fields["silence_ms"] = silence.Milliseconds()
	}
	if !origin.Since.IsZero() {
		fields["age_ms"] = now.Sub(origin.Since).Milliseconds()
	}
	c.options.Log.WithFields(fields).Info("version named")
}
