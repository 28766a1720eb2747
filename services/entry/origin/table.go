// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin

import (
	"slices"
	"time"
	"unique"
)

// maxRecords bounds the records of a table. A higher value remembers more streams, a lower one takes less memory.
const maxRecords = 131072

// Record is what an instance knows about the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// Until is when the stream can no longer be taken up.
	Until time.Time
	// Ambiguous is set if different origins were recorded under the key.
	Ambiguous bool
	// Expected is set if the first event of the stream has not been forwarded yet: the stream is about to run at the origin.
	Expected bool
	// Own is set if this instance forwards the stream.
	Own bool
}

// entry is a record as the table keeps it. Equal origins share their memory.
type entry struct {
	origin    unique.Handle[Origin]
	until     time.Time
	ambiguous bool
	expected  bool
	own       bool
}

// Table keeps the origins of streams, the newest maxRecords of them at most.
type Table struct {
	entries map[Key]entry
	// order has the keys of entries, the oldest first.
	order []Key
	// wholeFrom is when the last stream of this instance can no longer be taken up that was forgotten.
	wholeFrom time.Time
	// expired are the streams of this instance whose records have expired.
	expired expiredKeys
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Key]entry)}
}

// Len returns the number of records, including those that have expired since the last Sweep.
func (t *Table) Len() int {
	return len(t.order)
}

// Add adds a record. It removes the oldest one if the table is full. A record of the same stream is extended, and made ambiguous if its
// origin differs.
func (t *Table) Add(now time.Time, added Record) {
	until := added.Until
	if latest := now.Add(MaxLifetime); until.After(latest) {
		until = latest
	}
	if !until.After(now) {
		return
	}
	present := entry{origin: unique.Make(added.Origin), until: until, ambiguous: added.Ambiguous, expected: added.Expected, own: added.Own}
	former, exists := t.entries[added.Key]
	if exists && former.until.After(now) {
		present = merge(former, present)
	}
	if !exists {
		t.makeRoom()
		t.order = append(t.order, added.Key)
	}
	t.entries[added.Key] = present
}

// merge adds a record to a former one of the same key. What was forwarded counts more than what was expected.
func merge(former, added entry) entry {
	merged := former
	switch {
	case former.expected && !added.expected:
		merged = added
	case former.expected == added.expected:
		merged.ambiguous = former.ambiguous || added.ambiguous || added.origin != former.origin
	}
	if former.until.After(added.until) {
		merged.until = former.until
	} else {
		merged.until = added.until
	}
	merged.own = former.own || added.own
	return merged
}

// makeRoom removes the oldest record if the table is full.
func (t *Table) makeRoom() {
	if len(t.order) < maxRecords {
		return
	}
	oldest := t.entries[t.order[0]]
	if until := oldest.until.Add(MaxLifetime); oldest.own && until.After(t.wholeFrom) {
		t.wholeFrom = until
	}
	delete(t.entries, t.order[0])
	t.order = t.order[1:]
}

// MayHaveForgotten reports whether this instance may have begun a stream of which it has no record any more.
func (t *Table) MayHaveForgotten(now time.Time, key Key) bool {
	found := t.entries[key]
	hasExpired := found.own && !found.until.After(now)
	return hasExpired || t.expired.has(key) || t.wholeFrom.After(now)
}

// Get returns the record of a stream that has not expired.
func (t *Table) Get(now time.Time, key Key) (Record, bool) {
	found, exists := t.entries[key]
	if !exists || !found.until.After(now) {
		return Record{}, false
	}
	return Record{Key: key, Origin: found.origin.Value(), Until: found.until, Ambiguous: found.ambiguous, Expected: found.expected, Own: found.own}, true
}

// Lookup returns what the table knows about a stream: Known, Ambiguous or Unknown.
func (t *Table) Lookup(now time.Time, key Key) Result {
	found, exists := t.Get(now, key)
	switch {
	case !exists:
		return Result{Verdict: Unknown}
	case found.Ambiguous:
		return Result{Verdict: Ambiguous}
	default:
		return Result{Verdict: Known, Origin: found.Origin}
	}
}

// OwnKeys returns the keys of the streams of a service that this instance began and that have not expired, the newest first.
func (t *Table) OwnKeys(now time.Time, service string) []Key {
	var keys []Key
	for _, key := range slices.Backward(t.order) {
		found := t.entries[key]
		if found.own && found.until.After(now) && found.origin.Value().Service == service {
			keys = append(keys, key)
		}
	}
	return keys
}

// Keys returns the keys of all streams, the oldest first.
func (t *Table) Keys(now time.Time) []Key {
	keys := make([]Key, 0, len(t.order))
	for _, key := range t.order {
		if t.entries[key].until.After(now) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Sweep removes the records that have expired.
func (t *Table) Sweep(now time.Time) {
	t.expired.rotate(now)
	kept := make([]Key, 0, len(t.order))
	for _, key := range t.order {
		found := t.entries[key]
		if found.until.After(now) {
			kept = append(kept, key)
			continue
		}
		if found.own && !t.expired.add(key) {
			t.wholeFrom = now.Add(MaxLifetime)
		}
		delete(t.entries, key)
	}
	t.order = kept
}
