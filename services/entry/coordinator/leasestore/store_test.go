// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package leasestore_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

var (
	now         = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	address     = netip.MustParseAddrPort("127.0.0.1:1001")
	errNoAnswer = errors.New("no answer")
)

// fixture is a store whose answers the test sets.
type fixture struct {
	items     map[string]store.Item
	commits   []store.Transaction
	grants    int
	renewals  int
	failed    []string
	getErr    error
	commitErr error
	grantErr  error
	keepErr   error
	// commitApplied applies a transaction although its answer is lost.
	commitApplied bool
	revision      int64
	// readTimeout is the timeout of the last read.
	readTimeout time.Duration
}

func (f *fixture) get(ctx context.Context, key string) (store.Item, error) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return store.Item{}, errors.New("call without deadline")
	}
	f.readTimeout = time.Until(deadline)
	item, ok := f.items[key]
	switch {
	case f.getErr != nil:
		return store.Item{}, f.getErr
	case !ok:
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

func (f *fixture) commit(_ context.Context, transaction store.Transaction) (int64, error) {
	f.commits = append(f.commits, transaction)
	if f.commitErr == nil || f.commitApplied {
		f.revision++
		for _, write := range transaction.Writes {
			f.items[write.Key] = store.Item{Key: write.Key, Value: write.Value, Revision: f.revision, Lease: write.Lease}
		}
	}
	return f.revision, f.commitErr
}

func newFixture(t *testing.T, stored *lease.Record) (*fixture, *leasestore.Store) {
	t.Helper()
	f := &fixture{items: make(map[string]store.Item), revision: 7}
	if stored != nil {
		f.items[leasestore.RecordKey] = store.Item{Key: leasestore.RecordKey, Value: encode(t, *stored), Revision: 7}
	}
	return f, &leasestore.Store{
		Client: store.Client{
			Get: f.get, Commit: f.commit,
			GrantLease: func(_ context.Context, life time.Duration) (int64, error) {
				assert.Equal(t, 1200*time.Millisecond, life)
				f.grants++
				return int64(f.grants), f.grantErr
			},
			RenewLease: func(context.Context, int64) error { f.renewals++; return f.keepErr },
		},
		Instance: "self", Address: address, Timeout: time.Second,
		Now:    func() time.Time { return now },
		Failed: func(call string, _ error) { f.failed = append(f.failed, call) },
	}
}

func encode(t *testing.T, record lease.Record) []byte {
	t.Helper()
	value, err := record.Encode()
	require.NoError(t, err)
	return value
}

func TestReadOfAbsentRecordSucceeds(t *testing.T) {
	f, records := newFixture(t, nil)
	stored, err := records.Read(t.Context())
	require.NoError(t, err)
	assert.Equal(t, leasestore.Stored{}, stored)
	assert.Empty(t, f.failed)
}

func TestFailedReadsAreReported(t *testing.T) {
	f, records := newFixture(t, nil)
	f.getErr = errNoAnswer
	_, err := records.Read(t.Context())
	assert.ErrorIs(t, err, errNoAnswer)
	f.getErr = nil
	f.items[leasestore.RecordKey] = store.Item{Value: []byte("nonsense")}
	_, err = records.Read(t.Context())
	assert.Error(t, err)
	assert.Equal(t, []string{"read ownership", "read ownership"}, f.failed)
}

func TestConfirmationHasTimeOfSending(t *testing.T) {
	f, records := newFixture(t, &lease.Record{Holder: "self", Term: 4})
	confirmation, err := records.Confirm(t.Context())
	require.NoError(t, err)
	assert.Equal(t, leasestore.Confirmation{Sent: now, Revision: 7}, confirmation)
	assert.Greater(t, f.readTimeout, 400*time.Millisecond)
	assert.LessOrEqual(t, f.readTimeout, 500*time.Millisecond)
	delete(f.items, leasestore.RecordKey)
	_, err = records.Confirm(t.Context())
	assert.ErrorIs(t, err, store.ErrNotFound, "a missing record confirms nothing")
	assert.Equal(t, []string{"confirm ownership"}, f.failed)
}

func TestTakeWritesRecordAndHeartbeat(t *testing.T) {
	replaced := lease.Record{Holder: "peer", Term: 4, Ordering: true}
	f, records := newFixture(t, &replaced)
	taken, err := records.Take(t.Context(), leasestore.Stored{Record: replaced, Revision: 7, Found: true})
	require.NoError(t, err)
	assert.Equal(t, lease.Record{Holder: "self", Address: address, Term: 5, Former: "peer"}, taken.Record)
	assert.Equal(t, int64(8), taken.Revision)
	assert.Equal(t, now, taken.Sent)
	require.Len(t, f.commits, 1)
	assert.Equal(t, []store.Condition{{Key: "shelfledge/planner", Revision: 7}}, f.commits[0].Conditions)
	assert.Equal(t, store.Write{Key: "shelfledge/planner-alive", Value: []byte("self"), Lease: 1}, f.commits[0].Writes[1])
}

func TestLostRaceReturnsCurrentRecord(t *testing.T) {
	f, records := newFixture(t, nil)
	winner := lease.Record{Holder: "peer", Term: 1}
	f.commitErr = &store.ConflictError{Current: []store.Item{
		{Key: "other", Value: encode(t, lease.Record{Holder: "nobody"})}, {Key: leasestore.RecordKey, Value: encode(t, winner)},
	}}
	_, err := records.Take(t.Context(), leasestore.Stored{})
	var lost *leasestore.LostRaceError
	require.ErrorAs(t, err, &lost)
	assert.Equal(t, &winner, lost.Current)
	assert.True(t, store.IsConflict(err))
	assert.Empty(t, f.failed, "a lost race is not a failure of the store")

	f.commitErr = &store.ConflictError{}
	_, err = records.Take(t.Context(), leasestore.Stored{})
	require.ErrorAs(t, err, &lost)
	assert.Nil(t, lost.Current, "the store did not return the record")
}

func TestTakeWithoutAnswerIsReported(t *testing.T) {
	f, records := newFixture(t, nil)
	f.commitErr = errNoAnswer
	_, err := records.Take(t.Context(), leasestore.Stored{})
	assert.ErrorIs(t, err, errNoAnswer)
	f.grantErr = errNoAnswer
	_, err = records.Take(t.Context(), leasestore.Stored{})
	assert.ErrorIs(t, err, errNoAnswer)
	assert.Equal(t, []string{"take ownership", "grant lease"}, f.failed)
	assert.Len(t, f.commits, 1, "nothing is written without a lease")
}

func TestRewriteOutcomes(t *testing.T) {
	own := lease.Record{Holder: "self", Address: address, Term: 4}
	wanted := own
	wanted.Ordering = true
	later := lease.Record{Holder: "peer", Term: 5}
	cases := map[string]struct {
		stored        *lease.Record
		commitErr     error
		commitApplied bool
		getErr        error
		end           leasestore.RewriteOutcome
		record        lease.Record
		failed        []string
	}{
		"answered":                                               {&own, nil, false, nil, leasestore.Done, wanted, nil},
		"written, answer lost":                                   {&own, errNoAnswer, true, nil, leasestore.Settled, wanted, []string{"rewrite ownership"}},
		"not written, not answered":                              {&own, errNoAnswer, false, nil, leasestore.Settled, own, []string{"rewrite ownership"}},
		"record of a later term, conflict":                       {&later, &store.ConflictError{}, false, nil, leasestore.Lost, lease.Record{}, []string{"rewrite ownership"}},
		"record of a later term, answer lost":                    {&later, errNoAnswer, false, nil, leasestore.Lost, lease.Record{}, []string{"rewrite ownership"}},
		"no answer to the read either":                           {&own, errNoAnswer, false, errNoAnswer, leasestore.Unknown, lease.Record{}, []string{"rewrite ownership"}},
		"record missing":                                         {nil, errNoAnswer, false, nil, leasestore.Unknown, lease.Record{}, []string{"rewrite ownership"}},
		"record of another holder in the same term, answer lost": {&lease.Record{Holder: "peer", Term: 4}, errNoAnswer, false, nil, leasestore.Unknown, lease.Record{}, []string{"rewrite ownership"}},
		"record of another holder in the same term, conflict":    {&lease.Record{Holder: "peer", Term: 4}, &store.ConflictError{}, false, nil, leasestore.Lost, lease.Record{}, []string{"rewrite ownership"}},
		"own record, conflict":                                   {&own, &store.ConflictError{}, false, nil, leasestore.Settled, own, []string{"rewrite ownership"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f, records := newFixture(t, test.stored)
			f.commitErr, f.commitApplied, f.getErr = test.commitErr, test.commitApplied, test.getErr
			taken, end := records.Rewrite(t.Context(), 7, wanted)
			assert.Equal(t, test.end, end)
			assert.Equal(t, test.record, taken.Record)
			assert.Equal(t, test.failed, f.failed)
		})
	}
}

func TestHeartbeatIsRewrittenOnlyAfterLeaseExpired(t *testing.T) {
	f, records := newFixture(t, nil)
	records.KeepHeartbeat(t.Context())
	assert.Equal(t, 1, f.grants)
	assert.Len(t, f.commits, 1)
	records.KeepHeartbeat(t.Context())
	assert.Equal(t, 1, f.renewals)
	f.keepErr = errNoAnswer
	records.KeepHeartbeat(t.Context())
	assert.Equal(t, 1, f.grants, "a renewal without an answer creates no new lease")
	f.keepErr = store.ErrLeaseExpired
	records.KeepHeartbeat(t.Context())
	assert.Equal(t, 2, f.grants)
	assert.Equal(t, int64(2), f.items[leasestore.HeartbeatKey].Lease)
	f.commitErr = errNoAnswer
	records.KeepHeartbeat(t.Context())
	assert.Equal(t, []string{"write sign of life"}, f.failed)
}

func TestHolderIsAliveUnlessStoreLacksHeartbeat(t *testing.T) {
	f, records := newFixture(t, nil)
	assert.False(t, records.HolderAlive(t.Context()))
	f.items[leasestore.HeartbeatKey] = store.Item{Key: leasestore.HeartbeatKey}
	assert.True(t, records.HolderAlive(t.Context()))
	f.getErr = errNoAnswer
	assert.True(t, records.HolderAlive(t.Context()), "a missing answer does not prove that the holder is gone")
}
