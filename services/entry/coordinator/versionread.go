// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

const (
	// versionReadInterval is the interval between two reads of the named versions by the planner. A watch that names no change proves
	// nothing soon enough, so a newly named version counts as acknowledged right after the last read. A longer interval needs fewer calls
	// to the store; a shorter one lets former versions serve for longer.
	versionReadInterval = 500 * time.Millisecond
	// maxVersionBytes is the total size of the keys and values of named versions above which they are no longer read that often, so that the
	// reads do not fill a slow link. Newly named versions then count as older than they are.
	maxVersionBytes = 4 << 10
)

// readVersions reads the named versions at short intervals while this instance is the planner, so that the age of a newly named version is
// known. The planner tells the others.
func (c *Coordinator) readVersions() {
	size := 0
	for c.context.Err() == nil {
		pause := versionReadInterval
		if size <= maxVersionBytes && c.readsVersions() {
			items, err := c.readVersionsOnce()
			if err != nil {
				c.recordStoreFailure("read versions", err)
				pause = c.failurePause(pause)
			}
			size = sizeWithKeys(items)
		}
		c.sleep(pause)
	}
}

// readsVersions reports whether this instance is the planner and needs the age of named versions.
func (c *Coordinator) readsVersions() bool {
	reads := false
	c.loop.Call(func(time.Time) {
		reads = c.planner != nil && c.options.VersionLimit > 0 && c.environment.VersionPrefix != ""
	})
	return reads
}

// readVersionsOnce reads the named versions and applies them.
func (c *Coordinator) readVersionsOnce() ([]store.Item, error) {
	sentAt := c.options.Now()
	items, _, err := c.environment.Store.ReadAll(c.context, c.environment.VersionPrefix, c.options.StoreTimeout)
	if err != nil {
		return nil, err
	}
	c.loop.Post(func(now time.Time) {
		// The read does not show whether other operators' keys are missing.
		c.applyItems(now, c.keysCompleteness.Origin(follow.FromRead, 0), items)
		c.keysCompleteness.RecordVersionsRead(sentAt)
	})
	return items, nil
}

// sizeWithKeys returns the total size of items in bytes.
func sizeWithKeys(items []store.Item) int {
	size := follow.SizeOf(items)
	for _, item := range items {
		size += len(item.Key)
	}
	return size
}
