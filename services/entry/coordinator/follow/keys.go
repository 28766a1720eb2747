// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
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

// SizeOf sums the values of keys, in bytes.
func SizeOf(items []store.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Value)
	}
	return size
}
