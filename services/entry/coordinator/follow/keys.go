// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"iter"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
)

// Keys holds the operators' keys at their newest revision, wherever they came from; it is not safe for concurrent use.
type Keys struct {
	items    map[string]store.Item
	revision int64
}

// NewKeys makes a set that knows no key.
func NewKeys() *Keys {
	return &Keys{items: make(map[string]store.Item)}
}

// Take takes in a key from the store or from a peer. It tells whether the key is newer than what is known: older ones, and the same one
// again, are passed over, so that nothing ever reverts.
func (k *Keys) Take(item store.Item) bool {
	if known, ok := k.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	k.items[item.Key] = item
	k.revision = max(k.revision, item.Revision)
	return true
}

// Revision is the newest revision of the store that is known; 0 if there is none.
func (k *Keys) Revision() int64 {
	return k.revision
}

// After gives the keys that changed after a revision.
func (k *Keys) After(revision int64) []store.Item {
	var items []store.Item
	for _, item := range k.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items
}

// Versions holds the versions of adapters that operators named; it is not safe for concurrent use.
type Versions struct {
	named map[deployment.Adapter]namedVersion
}

// namedVersion is a version that operators named, and when this instance learned it.
type namedVersion struct {
	version int64
	learned time.Time
}

// NewVersions makes a set in which no version is named.
func NewVersions() *Versions {
	return &Versions{named: make(map[deployment.Adapter]namedVersion)}
}

// Name takes in a version that was named. It tells whether the version is newer: versions only grow.
func (v *Versions) Name(now time.Time, adapter deployment.Adapter, version int64) bool {
	if version <= v.named[adapter].version {
		return false
	}
	v.named[adapter] = namedVersion{version: version, learned: now}
	return true
}

// Named gives the version that was named last; 0 if none was.
func (v *Versions) Named(adapter deployment.Adapter) int64 {
	return v.named[adapter].version
}

// reservedParts is in how many parts a limit is cut of which one is kept for what is not known at the choice of an endpoint: how
// long before it was learned the version was acknowledged, the connection, and a wait that is longer than expected. Fewer keep
// more, and refuse the former version sooner. Not measured.
const reservedParts = 2

// FormerWait gives how long a request that is assigned now may wait until it runs on a version older than the one named last,
// where requests may begin on older ones for a limit after that was acknowledged. With zero and less, none may; where no
// version was named, it tells nothing.
func (v *Versions) FormerWait(now time.Time, adapter deployment.Adapter, limit time.Duration) time.Duration {
	return limit - limit/reservedParts - now.Sub(v.named[adapter].learned)
}

// All gives each adapter with its named version.
func (v *Versions) All() iter.Seq2[deployment.Adapter, int64] {
	return func(yield func(deployment.Adapter, int64) bool) {
		for adapter, named := range v.named {
			if !yield(adapter, named.version) {
				return
			}
		}
	}
}
