// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import "fmt"

// ErrRevisionGap reports a record that does not directly follow the revision of the current catalog.
type ErrRevisionGap struct {
	// Have is the revision of the current catalog and Got the one of the record.
	Have int64
	Got  int64
}

// Error implements error.
func (e ErrRevisionGap) Error() string {
	return fmt.Sprintf("revision %d does not follow on revision %d", e.Got, e.Have)
}

const (
	// maxHistoryRecords and maxHistoryBytes limit the number of records in a history and the bytes of their stored form. Higher limits take
	// more memory; lower limits make more instances that were disconnected need a snapshot.
	maxHistoryRecords = 512
	maxHistoryBytes   = 2 << 20
	// maxDecodedChanges limits the number of decoded changes that a history holds for each record.
	maxDecodedChanges = 64
)

// History holds the recent records in their stored form, so that they can be sent to other instances.
type History struct {
	records []storedRecord
	bytes   int
	// snapshot is the cached stored form of snapshotCatalog. Both are cleared when another catalog is in force.
	snapshot        []byte
	snapshotCatalog *Catalog
}

type storedRecord struct {
	record  Record
	encoded []byte
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{}
}

// Records returns the recent records, oldest first. A record with more than maxDecodedChanges changes is cut to
// that many and has no inverse.
func (h *History) Records() []Record {
	out := make([]Record, 0, len(h.records))
	for _, r := range h.records {
		out = append(out, r.record)
	}
	return out
}

// After returns what an instance at the given revision needs to reach the current catalog: the encoded records after
// the revision if the history still has all of them, and otherwise an encoded snapshot.
func (h *History) After(current *Catalog, revision int64) ([]byte, [][]byte, error) {
	if revision >= current.Revision {
		return nil, nil, nil
	}
	if len(h.records) == 0 || h.records[0].record.Revision > revision+1 {
		snapshot, err := h.encodedSnapshot(current)
		return snapshot, nil, err
	}
	var out [][]byte
	for _, r := range h.records {
		if r.record.Revision > revision {
			out = append(out, r.encoded)
		}
	}
	return nil, out, nil
}

// encodedSnapshot returns the stored form of the current catalog and caches it.
func (h *History) encodedSnapshot(current *Catalog) ([]byte, error) {
	if h.snapshotCatalog == current {
		return h.snapshot, nil
	}
	snapshot, err := EncodeSnapshot(current)
	if err != nil {
		return nil, err
	}
	h.snapshot, h.snapshotCatalog = snapshot, current
	return snapshot, nil
}

// Advance returns the catalog after the given snapshot and records, or current itself if none of them is newer. A snapshot
// that is not newer than the current catalog is ignored unless allowLower is set; records that are not newer are always
// ignored. If a record is malformed, out of sequence or not applicable, Advance returns the error with the catalog before that
// record. If the snapshot is malformed, the returned catalog is nil.
func (h *History) Advance(current *Catalog, snapshot []byte, records [][]byte, allowLower bool) (*Catalog, error) {
	next := current
	defer func() {
		// The cached snapshot belongs to the previous catalog.
		if next != current {
			h.snapshot, h.snapshotCatalog = nil, nil
		}
	}()
	if len(snapshot) > 0 {
		c, err := DecodeSnapshot(snapshot)
		if err != nil {
			return nil, err
		}
		if c.Revision > next.Revision || allowLower {
			next = c
			h.records, h.bytes = nil, 0
		}
	}
	for _, data := range records {
		r, err := DecodeRecord(data)
		if err != nil {
			return next, err
		}
		if r.Revision <= next.Revision {
			continue
		}
		if r.Revision != next.Revision+1 {
			return next, ErrRevisionGap{Have: next.Revision, Got: r.Revision}
		}
		applied, _, err := next.Apply(r.Revision, r.Changes)
		if err != nil {
			return next, err
		}
		next = applied
		h.addRecord(r, data)
	}
	return next, nil
}

func (h *History) addRecord(r Record, data []byte) {
	if len(r.Changes) > maxDecodedChanges {
		// A large record is sent to other instances in its stored form, so its decoded changes are not needed in full.
		r.Changes = r.Changes[:maxDecodedChanges:maxDecodedChanges]
		r.Inverse = nil
	}
	h.records = append(h.records, storedRecord{record: r, encoded: data})
	h.bytes += len(data)
	for len(h.records) > maxHistoryRecords || (h.bytes > maxHistoryBytes && len(h.records) > 1) {
		h.bytes -= len(h.records[0].encoded)
		h.records = h.records[1:]
	}
}
