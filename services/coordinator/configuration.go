// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/shelfledge/shelfledge/modules/store"
)

const (
	// longWatch is how long a watch may wait in the store while the planner watches too and
	// tells what this instance lacks.
	longWatch = 20 * time.Second
	// shortWatch is how long a watch may wait otherwise: a store that drops its history may
	// leave waiting watches deaf for a second without ending them, and two deaf watches in a
	// row must stay well below the time in which a change has to be in force.
	shortWatch = 550 * time.Millisecond
	// watchSlack is how much later than its wait a watch must have answered.
	watchSlack = time.Second
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 250 * time.Millisecond
)

// followConfiguration reads the operators' keys, then watches them.
func (c *Coordinator) followConfiguration() {
	for c.context.Err() == nil {
		ctx, cancel := c.storeCall()
		items, at, err := c.environment.Store.ReadAll(ctx, c.environment.ConfigurationPrefix)
		cancel()
		if err != nil {
			c.noteStore("read configuration", err)
			c.askSeeds()
			c.sleep(c.jitter(storeRetry))
			continue
		}
		c.loop.post(func(now time.Time) { c.applyItems(now, items) })
		c.watchConfiguration(at)
	}
}

// watchConfiguration returns when the keys have to be read anew.
func (c *Coordinator) watchConfiguration(after int64) {
	failures := 0
	for c.context.Err() == nil {
		events, next, err := c.watchConfigurationOnce(after)
		switch {
		case errors.Is(err, store.ErrCompacted):
			return
		case err != nil:
			c.noteStore("watch configuration", err)
			failures++
			if failures > 1 {
				return
			}
			c.sleep(c.jitter(storeRetry))
		default:
			failures = 0
			after = next
			c.loop.post(func(now time.Time) { c.applyItems(now, eventItems(events)) })
		}
	}
}

// watchConfigurationOnce makes one waiting call; a long one ends early when the planner falls
// silent or this instance becomes the planner.
func (c *Coordinator) watchConfigurationOnce(after int64) ([]store.Event, int64, error) {
	ctx, cancel := context.WithCancel(c.context)
	defer cancel()
	wait := shortWatch
	c.loop.call(func(now time.Time) {
		if c.reliesOnPlanner(now) {
			wait = longWatch
			c.endLongWatch = cancel
		}
	})
	events, next, err := c.watch(ctx, c.environment.ConfigurationPrefix, after, wait)
	if err != nil && ctx.Err() != nil {
		return nil, after, nil
	}
	return events, next, err
}

// reliesOnPlanner tells whether another instance watches the store for this one.
func (c *Coordinator) reliesOnPlanner(now time.Time) bool {
	return c.planning == nil && c.following.Fresh(now)
}

// checkWatch ends a long watch that cannot be relied on any more.
func (c *Coordinator) checkWatch(now time.Time) {
	if c.endLongWatch != nil && !c.reliesOnPlanner(now) {
		c.endLongWatch()
		c.endLongWatch = nil
	}
}

func eventItems(events []store.Event) []store.Item {
	items := make([]store.Item, 0, len(events))
	for _, event := range events {
		if !event.Gone {
			items = append(items, event.Item)
		}
	}
	return items
}

// applyItems takes in the operators' keys from the store or from a peer; older ones are
// passed over, so that nothing ever reverts.
func (c *Coordinator) applyItems(now time.Time, items []store.Item) {
	for _, item := range items {
		if known, ok := c.items[item.Key]; ok && known.Revision >= item.Revision {
			continue
		}
		c.items[item.Key] = item
		c.configurationAt = max(c.configurationAt, item.Revision)
		if item.Key == c.environment.ConfigurationKey {
			c.applyConfiguration(now, item)
			continue
		}
		c.applyVersion(now, item)
	}
	c.updateReady()
}

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
	c.options.Log.WithFields(map[string]any{"version": configuration.Version, "revision": item.Revision}).Info("configuration in force")
	if c.planning != nil {
		c.planning.setConfiguration(now, configuration)
	}
}

func (c *Coordinator) applyVersion(now time.Time, item store.Item) {
	adapter, version, ok := c.environment.ParseVersion(item)
	if !ok || version <= c.versions[adapter].version {
		return
	}
	c.versions[adapter] = namedVersion{version: version, learned: now}
	c.options.Log.WithFields(map[string]any{"adapter": adapter.String(), "version": version}).Info("version named")
	if c.planning != nil {
		c.planning.setVersion(now, adapter, version)
	}
}

// newerItems gives the operators' keys changed after a revision.
func (c *Coordinator) newerItems(after int64) []store.Item {
	var items []store.Item
	for _, item := range c.items {
		if item.Revision > after {
			items = append(items, item)
		}
	}
	return items
}
