// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// Store commits configuration changes, one commit at a time. It is safe for concurrent use.
type Store struct {
	mutex  sync.Mutex
	reader reader
	// current is the configuration as of the last synchronization with the key-value service.
	current *catalog.Catalog
	history *catalog.History
	now     func() time.Time
}

// ErrTooLarge reports a set of changes whose record exceeds the maximum size of a stored value.
type ErrTooLarge struct {
	Bytes int
}

// Error returns a message that contains the size and its limit.
func (e ErrTooLarge) Error() string {
	return fmt.Sprintf("the changes take %d bytes, more than the %d of one stored value; give them in several batches", e.Bytes, maxValueBytes)
}

// ErrOutcomeUnknown reports a commit whose outcome could not be determined in time.
type ErrOutcomeUnknown struct {
	ID     string
	Reason string
}

// Error returns a message that contains the identifier of the change. Repeating the command with this identifier determines
// the outcome.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted: %s; repeat the command with the same identifier to find out", e.ID, e.Reason)
}

// IsErrOutcomeUnknown reports whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var e ErrOutcomeUnknown
	return errors.As(err, &e)
}

// ErrUnavailable reports that the key-value service could not be used and that nothing was changed.
type ErrUnavailable struct {
	Reason string
}

// Error returns a message that contains the reason.
func (e ErrUnavailable) Error() string {
	return "the change was not accepted: " + e.Reason
}

// IsErrUnavailable reports whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var e ErrUnavailable
	return errors.As(err, &e)
}

// NewStore returns a store that keeps its keys below prefix in the key-value service.
func NewStore(client *kv.Client, prefix string, now func() time.Time) *Store {
	return &Store{reader: reader{client: client, keys: keys{prefix: prefix}}, current: catalog.New(), history: catalog.NewHistory(), now: now}
}

// Proposal is a set of changes that is committed as a whole or not at all.
type Proposal struct {
	// ID identifies the proposal, so that it is committed only once even if it is sent repeatedly.
	ID       string
	Operator string
	Command  string
	Changes  []catalog.Change
	// BasedOn, if above zero, is the revision that must be the latest one for the changes to be committed.
	BasedOn int64
}

// Committed is a committed record and its encoded form.
type Committed struct {
	Record  catalog.Record
	Encoded []byte
	// Repeated reports whether the proposal had already been committed earlier. Encoded is then empty.
	Repeated bool
}

// maxCommitAttempts is the maximum number of attempts of one commit. An attempt is repeated if another operator's change was
// committed first or if its outcome is unknown.
const maxCommitAttempts = 8

// Commit stores a proposal as the next revision. It returns ErrOutcomeUnknown if the proposal may or may not have been stored. If
// the proposal was definitely not stored, it returns ErrUnavailable, ErrTooLarge, catalog.ErrRevisionConflict or
// catalog.ErrBadChange.
func (s *Store) Commit(ctx context.Context, p Proposal) (Committed, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	unknownOutcome := ""
	for range maxCommitAttempts {
		h, mod, err := s.sync(ctx)
		if err != nil {
			return Committed{}, s.commitError(p, unknownOutcome, err)
		}
		if r, ok := s.findRecord(p.ID); ok {
			return Committed{Record: r, Repeated: true}, nil
		}
		if err := s.checkBasedOn(p, h.Revision); err != nil {
			return Committed{}, err
		}
		c, next, err := s.prepareRecord(p)
		if err != nil {
			return Committed{}, err
		}
		done, err := s.writeRecord(ctx, h, mod, c)
		if err == nil && done {
			return c, s.advance(c, next)
		}
		if err != nil && !kv.IsErrOutcomeUnknown(err) {
			return Committed{}, s.commitError(p, unknownOutcome, err)
		}
		if err != nil {
			unknownOutcome = err.Error()
		}
	}
	if unknownOutcome != "" {
		return Committed{}, ErrOutcomeUnknown{ID: p.ID, Reason: unknownOutcome}
	}
	return Committed{}, ErrUnavailable{Reason: "other operators' changes came first every time"}
}

// commitError returns ErrUnavailable, which states that nothing was changed, only if no earlier attempt had an unknown
// outcome. Otherwise it returns ErrOutcomeUnknown with unknownOutcome, the error of that attempt, as the reason.
func (s *Store) commitError(p Proposal, unknownOutcome string, err error) error {
	if unknownOutcome != "" {
		return ErrOutcomeUnknown{ID: p.ID, Reason: unknownOutcome}
	}
	return ErrUnavailable{Reason: err.Error()}
}

// sync updates the current catalog to the stored head and returns the head and the modification revision of its key.
func (s *Store) sync(ctx context.Context) (head, int64, error) {
	h, mod, err := s.reader.readHead(ctx)
	if err != nil {
		return h, mod, err
	}
	if h.Revision < s.current.Revision {
		return h, mod, ErrInvalidHead{Reason: fmt.Sprintf("it went back from revision %d to %d", s.current.Revision, h.Revision)}
	}
	records, err := s.reader.recordsSince(ctx, h, s.current.Revision)
	if err != nil {
		return h, mod, err
	}
	next, err := s.history.Advance(s.current, records.Snapshot, records.Records, false)
	if err != nil {
		return h, mod, err
	}
	if next != nil {
		s.current = next
	}
	if s.current.Revision != h.Revision {
		return h, mod, ErrInvalidHead{Reason: "records before it are missing"}
	}
	return h, mod, nil
}

// findRecord returns the recent record of the proposal with the given identifier.
func (s *Store) findRecord(id string) (catalog.Record, bool) {
	for _, r := range s.history.Records() {
		if r.ID == id {
			return r, true
		}
	}
	return catalog.Record{}, false
}

// checkBasedOn returns ErrRevisionConflict if the proposal is based on a revision other than the current one. The error names
// the first change after that revision.
func (s *Store) checkBasedOn(p Proposal, current int64) error {
	if p.BasedOn <= 0 || p.BasedOn == current {
		return nil
	}
	e := catalog.ErrRevisionConflict{BasedOn: p.BasedOn, Current: current}
	for _, r := range s.history.Records() {
		if r.Revision == p.BasedOn+1 {
			e.Current, e.Operator, e.Summary = r.Revision, r.Operator, r.Summary()
		}
	}
	return e
}

// prepareRecord applies a proposal to the current catalog. It returns the encoded record and the resulting catalog.
func (s *Store) prepareRecord(p Proposal) (Committed, *catalog.Catalog, error) {
	revision := s.current.Revision + 1
	next, inverse, err := s.current.Apply(revision, p.Changes)
	if err != nil {
		return Committed{}, nil, err
	}
	r := catalog.Record{
		ID: p.ID, Revision: revision, Operator: p.Operator, At: s.now().UTC(), Command: p.Command, Changes: p.Changes, Inverse: inverse,
	}
	encoded, err := catalog.EncodeRecord(r)
	if err != nil {
		return Committed{}, nil, err
	}
	if len(encoded) > maxValueBytes {
		return Committed{}, nil, ErrTooLarge{Bytes: len(encoded)}
	}
	return Committed{Record: r, Encoded: encoded}, next, nil
}

// writeRecord stores a record and updates the head in one transaction. It returns false if another change was committed first.
func (s *Store) writeRecord(ctx context.Context, h head, mod int64, c Committed) (bool, error) {
	next := head{Revision: c.Record.Revision, Snapshot: h.Snapshot, Parts: h.Parts}
	if len(c.Encoded) <= maxInlineRecordBytes {
		next.Last = c.Encoded
	}
	var deletes []kv.Op
	if s.current.Revision-h.Snapshot >= snapshotInterval {
		parts, err := s.writeSnapshot(ctx)
		if err != nil {
			return false, err
		}
		next.Snapshot, next.Parts = s.current.Revision, parts
		deletes = s.obsoleteKeyDeletes(h)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return false, kv.ErrNotDone{Call: "commit", Reason: err.Error()}
	}
	resp, err := s.reader.client.Txn(ctx, kv.TxnRequest{
		Compare: []kv.Compare{{Key: []byte(s.reader.keys.head()), Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: mod}},
		Success: append([]kv.Op{
			{Put: &kv.PutRequest{Key: []byte(s.reader.keys.record(c.Record.Revision)), Value: c.Encoded}},
			{Put: &kv.PutRequest{Key: []byte(s.reader.keys.head()), Value: value}},
		}, deletes...),
	})
	return resp.Succeeded, err
}

// writeSnapshot stores the current catalog as a snapshot and returns the number of its parts. The parts are not read until the
// head refers to them.
func (s *Store) writeSnapshot(ctx context.Context) (int, error) {
	data, err := catalog.EncodeSnapshot(s.current)
	if err != nil {
		return 0, err
	}
	parts := 0
	for len(data) > 0 {
		size := min(len(data), maxValueBytes)
		put := &kv.PutRequest{Key: []byte(s.reader.keys.part(s.current.Revision, parts)), Value: data[:size]}
		if _, err := s.reader.client.Txn(ctx, kv.TxnRequest{Success: []kv.Op{{Put: put}}}); err != nil {
			// The head does not refer to this snapshot yet, so nothing was committed even if this part was written.
			return 0, kv.ErrNotDone{Call: "snapshot", Reason: err.Error()}
		}
		data = data[size:]
		parts++
	}
	return parts, nil
}

// obsoleteKeyDeletes returns the operations that delete the snapshots before the previous one and the records that are older
// than the retained history.
func (s *Store) obsoleteKeyDeletes(h head) []kv.Op {
	ops := []kv.Op{{Delete: &kv.DeleteRequest{Key: []byte(s.reader.keys.part(0, 0)), RangeEnd: []byte(s.reader.keys.part(h.Snapshot, 0))}}}
	if limit := s.current.Revision - retainedRecords; limit > 0 {
		ops = append(ops, kv.Op{Delete: &kv.DeleteRequest{Key: []byte(s.reader.keys.record(0)), RangeEnd: []byte(s.reader.keys.record(limit))}})
	}
	return ops
}

// advance replaces the current catalog by the one after the committed record.
func (s *Store) advance(c Committed, next *catalog.Catalog) error {
	advanced, err := s.history.Advance(s.current, nil, [][]byte{c.Encoded}, false)
	if err != nil {
		return err
	}
	if advanced == nil || advanced.Revision != next.Revision {
		return ErrInvalidHead{Reason: "the accepted record does not follow on the one in hand"}
	}
	s.current = advanced
	return nil
}

// Preview applies a proposal to the latest configuration and returns the resulting record without storing it.
func (s *Store) Preview(ctx context.Context, p Proposal) (catalog.Record, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h, _, err := s.sync(ctx)
	if err != nil {
		return catalog.Record{}, ErrUnavailable{Reason: err.Error()}
	}
	if err := s.checkBasedOn(p, h.Revision); err != nil {
		return catalog.Record{}, err
	}
	c, _, err := s.prepareRecord(p)
	return c.Record, err
}

// Record returns the stored record with the given revision and reports whether it was found.
func (s *Store) Record(ctx context.Context, revision int64) (catalog.Record, bool, error) {
	pair, found, err := s.reader.client.Get(ctx, s.reader.keys.record(revision))
	if err != nil {
		return catalog.Record{}, false, ErrUnavailable{Reason: err.Error()}
	}
	if !found {
		return catalog.Record{}, false, nil
	}
	r, err := catalog.DecodeRecord(pair.Value)
	return r, err == nil, err
}
