// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration

import (
	"encoding/json"
	"fmt"
)

// head is the value of the head key, which names the latest revision and snapshot.
type head struct {
	Revision int64 `json:"revision"`
	// Snapshot is the revision of the latest snapshot, and Parts is the number of values that the snapshot is split into.
	Snapshot int64 `json:"snapshot"`
	Parts    int   `json:"parts"`
	// Last is the latest record, if it has at most maxInlineRecordBytes. It saves readers the call that would read the record.
	Last []byte `json:"last,omitempty"`
}

const (
	// maxValueBytes is the maximum size of a stored value, in bytes. It is well below the service's limit of one megabyte.
	maxValueBytes = 700 << 10
	// maxInlineRecordBytes is the maximum size of a record that is included in the head, in bytes. An included record saves each
	// reader one call for each change, but makes the head larger, which all followers watch.
	maxInlineRecordBytes = 16 << 10
	// snapshotInterval is the number of records after which a new snapshot is written. A lower number costs more writes; a higher
	// number makes a starting instance read more records.
	snapshotInterval = 200
	// retainedRecords is the number of records before the latest that are kept for history and undo.
	retainedRecords = 512
)

// keys builds the keys of the configuration in the key-value service.
type keys struct {
	prefix string
}

func (k keys) head() string { return k.prefix + "/config/head" }

func (k keys) record(revision int64) string {
	return fmt.Sprintf("%s/config/log/%016d", k.prefix, revision)
}

func (k keys) part(revision int64, part int) string {
	return fmt.Sprintf("%s/config/snapshot/%016d/%04d", k.prefix, revision, part)
}

// ErrInvalidHead reports a head that is invalid or inconsistent with the stored records.
type ErrInvalidHead struct {
	Reason string
}

// Error returns a message that contains the reason.
func (e ErrInvalidHead) Error() string {
	return "the configuration's head cannot be read: " + e.Reason
}

// parseHead decodes the value of the head key. It returns ErrInvalidHead if the value is invalid.
func parseHead(value []byte) (head, error) {
	var h head
	if err := json.Unmarshal(value, &h); err != nil {
		return head{}, ErrInvalidHead{Reason: err.Error()}
	}
	if h.Revision < 0 || h.Snapshot > h.Revision || h.Parts < 0 {
		return head{}, ErrInvalidHead{Reason: "its numbers make no sense"}
	}
	return h, nil
}
