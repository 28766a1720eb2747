// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
)

// Keys holds the operators' keys at their newest revision from any source. It is not safe for concurrent use.
type Keys struct {
	items    map[string]store.Item
	revision int64
	// newest is the newest revision of any key, including keys beyond the revision up to which all changes are known.
	newest int64
	// changes are the last recorded changes, and forgotten is the newest revision of the dropped earlier ones.
	changes   []change
	forgotten int64
}

// change is a set of keys that were stored together: upTo is an upper bound of their revisions, and since the latest time before
// which none of them was acknowledged; zero if unknown.
type change struct {
	upTo  int64
	since time.Time
}

// maxChanges is the number of stored changes. With a higher number, the planner knows the age of the missing changes of a member
// that lags further behind; a lower number takes less memory.
const maxChanges = 64

// NewKeys returns a set without keys.
func NewKeys() *Keys {
	return &Keys{items: make(map[string]store.Item)}
}

// Put stores a key that was received from the store or from a peer. It reports whether the key is newer than the stored one;
// otherwise it is ignored, so that a key never reverts to an older revision.
func (k *Keys) Put(item store.Item) bool {
	if known, ok := k.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	k.items[item.Key] = item
	k.newest = max(k.newest, item.Revision)
	return true
}

// MarkComplete records that no change up to a revision is missing. The keys alone do not imply that: the pages of one read of the store
// are read at different times, so that a later page may contain a newer change than one that is missing in an earlier page.
func (k *Keys) MarkComplete(upTo int64) {
	if k.newest <= upTo {
		// The usual case, which avoids iterating over all keys.
		k.revision = k.newest
		return
	}
	for _, item := range k.items {
		if item.Revision <= upTo {
			k.revision = max(k.revision, item.Revision)
		}
	}
}

// Revision returns the newest revision of a key up to which no change is missing; 0 if there is none.
func (k *Keys) Revision() int64 {
	return k.revision
}

// RecordChange records, for the keys stored since the last call, the latest time before which none of them was acknowledged, see
// Origin.Since.
func (k *Keys) RecordChange(since time.Time) {
	k.changes = append(k.changes, change{upTo: k.newest, since: since})
	if len(k.changes) > maxChanges {
		k.forgotten = k.changes[0].upTo
		k.changes = slices.Clone(k.changes[1:])
	}
}

// ChangedSince returns the latest time before which none of the changes after a revision was acknowledged. It includes changes that
// a later change of the same key replaced, since a peer whose keys end at the revision misses them too. It returns false if no such
// time is known.
func (k *Keys) ChangedSince(revision int64) (time.Time, bool) {
	var first time.Time
	for _, recorded := range k.changes {
		if recorded.upTo > revision && (first.IsZero() || recorded.since.Before(first)) {
			first = recorded.since
		}
		if recorded.upTo > revision && recorded.since.IsZero() {
			return time.Time{}, false
		}
	}
	return first, revision >= k.forgotten && !first.IsZero()
}

// After returns the keys that changed after a revision.
func (k *Keys) After(revision int64) []store.Item {
	var items []store.Item
	for _, item := range k.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items
}

// SizeOf returns the total size of the values of keys in bytes.
func SizeOf(items []store.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Value)
	}
	return size
}
