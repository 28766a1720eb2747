// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package configuration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
	"github.com/shelfledge/shelfledge/tests/standin"
)

const (
	prefix = "/test"
	// waitLimit is how long a test waits for an expected event before it fails.
	waitLimit = 10 * time.Second
)

// kvService is a key-value service that can be made to fail right after a write.
type kvService struct {
	*standin.KV
	address netip.AddrPort
	// stopAfterWrite makes the service fail right after the next write, whose response is lost.
	stopAfterWrite atomic.Bool
}

func newKVService(t *testing.T) *kvService {
	t.Helper()
	s := &kvService{KV: standin.NewKV()}
	inner := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/v3/kv/txn" || !s.stopAfterWrite.CompareAndSwap(true, false) {
			inner.ServeHTTP(w, q)
			return
		}
		inner.ServeHTTP(httptest.NewRecorder(), q)
		s.SetFaults(standin.KVFaults{Down: true})
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(func() {
		s.SetFaults(standin.KVFaults{Down: true})
		server.Close()
	})
	s.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return s
}

func (s *kvService) client() *kv.Client {
	return kv.New(kv.Options{Addresses: []netip.AddrPort{s.address}})
}

func (s *kvService) store() *configuration.Store {
	return configuration.NewStore(s.client(), prefix, func() time.Time { return time.Unix(0, 0) })
}

// proposal returns a proposal that creates one adapter.
func proposal(id string) configuration.Proposal {
	return configuration.Proposal{ID: id, Operator: "ana", Command: "create", Changes: []catalog.Change{
		{Kind: catalog.CreateAdapter, Name: "adapter-" + id, Base: "base"},
	}}
}

func commit(t *testing.T, s *configuration.Store, p configuration.Proposal) configuration.Committed {
	t.Helper()
	c, err := s.Commit(context.Background(), p)
	require.NoError(t, err)
	return c
}

func TestRepeatedProposalIsCommittedOnce(t *testing.T) {
	kvs := newKVService(t)
	first := commit(t, kvs.store(), proposal("a"))
	require.Equal(t, int64(1), first.Record.Revision)
	again := commit(t, kvs.store(), proposal("a"))
	require.True(t, again.Repeated)
	require.Equal(t, first.Record.Revision, again.Record.Revision)
	require.Equal(t, int64(2), commit(t, kvs.store(), proposal("b")).Record.Revision)
}

func TestCommitReadsBackAfterLostResponse(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	kvs.SetFaults(standin.KVFaults{LoseAnswers: 1})
	require.Equal(t, int64(1), commit(t, s, proposal("a")).Record.Revision)
	require.Equal(t, int64(2), commit(t, s, proposal("b")).Record.Revision, "the first proposal must be stored only once")
}

func TestCommitWithUnknownOutcomeIsResolvedByRepeating(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	kvs.stopAfterWrite.Store(true)
	_, err := s.Commit(context.Background(), proposal("a"))
	require.True(t, configuration.IsErrOutcomeUnknown(err), "%v", err)
	require.ErrorContains(t, err, "change a may or may not have been accepted")
	kvs.SetFaults(standin.KVFaults{})
	require.True(t, commit(t, s, proposal("a")).Repeated)
}

func TestCommitChangesNothingWhileServiceIsDown(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	kvs.SetFaults(standin.KVFaults{Down: true})
	_, err := s.Commit(context.Background(), proposal("a"))
	require.True(t, configuration.IsErrUnavailable(err), "%v", err)
	require.Empty(t, kvs.Dump())
	kvs.SetFaults(standin.KVFaults{})
	require.False(t, commit(t, s, proposal("a")).Repeated)
}

func TestStoreIncludesCommitsOfOtherStores(t *testing.T) {
	kvs := newKVService(t)
	first, second := kvs.store(), kvs.store()
	commit(t, first, proposal("a"))
	commit(t, second, proposal("b"))
	require.Equal(t, int64(3), commit(t, first, proposal("c")).Record.Revision)
	_, err := second.Commit(context.Background(), configuration.Proposal{ID: "d", Changes: proposal("c").Changes})
	var bad catalog.ErrBadChange
	require.ErrorAs(t, err, &bad, "the adapter already exists")
}

func TestRevisionConflictNamesInterveningChange(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	commit(t, s, proposal("b"))
	commit(t, s, proposal("c"))
	p := proposal("d")
	p.BasedOn = 1
	want := catalog.ErrRevisionConflict{BasedOn: 1, Current: 2, Operator: "ana", Summary: "create adapter adapter-b"}
	_, err := s.Commit(context.Background(), p)
	require.Equal(t, want, err)
	_, err = s.Preview(context.Background(), p)
	require.Equal(t, want, err)
	p.BasedOn = 3
	require.Equal(t, int64(4), commit(t, s, p).Record.Revision)
}

func TestPreviewStoresNothing(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	r, err := s.Preview(context.Background(), proposal("a"))
	require.NoError(t, err)
	require.Equal(t, int64(1), r.Revision)
	require.Empty(t, kvs.Dump())
}

func TestCommitRejectsChangesLargerThanOneValue(t *testing.T) {
	kvs := newKVService(t)
	p := proposal("a")
	for i := range 60_000 {
		// The names differ in all digits, so that compression does not reduce the size of the record.
		p.Changes = append(p.Changes, catalog.Change{Kind: catalog.CreateAdapter, Name: fmt.Sprintf("%x", uint64(i+1)*0x9e3779b97f4a7c15), Base: "base"})
	}
	_, err := kvs.store().Commit(context.Background(), p)
	var large configuration.ErrTooLarge
	require.ErrorAs(t, err, &large)
	require.Empty(t, kvs.Dump())
}

func TestCommitRejectsHeadThatMovedBackward(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	older := kvs.Dump()
	commit(t, s, proposal("b"))
	kvs.Restore(older)
	_, err := s.Commit(context.Background(), proposal("c"))
	require.True(t, configuration.IsErrUnavailable(err))
	require.ErrorContains(t, err, "it went back from revision 2 to 1")
}

func TestNewStoreReadsSnapshotAndRecords(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	const changes = 205
	for i := range changes {
		commit(t, s, proposal(fmt.Sprint(i)))
	}
	snapshots := 0
	for key := range kvs.Dump() {
		if strings.Contains(key, "/snapshot/") {
			snapshots++
		}
	}
	require.Equal(t, 1, snapshots, "one snapshot must be written after 200 records")
	fresh := kvs.store()
	require.Equal(t, int64(changes+1), commit(t, fresh, proposal("next")).Record.Revision)
	_, err := fresh.Commit(context.Background(), configuration.Proposal{ID: "x", Changes: proposal("0").Changes})
	require.ErrorContains(t, err, "it exists already", "the adapter is stored only in the snapshot")
	r, found, err := fresh.Record(context.Background(), 7)
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "6", r.ID)
	_, found, err = fresh.Record(context.Background(), changes+2)
	require.NoError(t, err)
	require.False(t, found)
}

// testFollower is a follower whose published records are collected and whose published head is in force immediately.
type testFollower struct {
	*configuration.Follower
	published chan fleet.Records
	revision  atomic.Int64
}

func newTestFollower(t *testing.T, kvs *kvService) *testFollower {
	t.Helper()
	f := &testFollower{published: make(chan fleet.Records, 100)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	publish := func(r fleet.Records) {
		f.revision.Store(r.Head)
		f.published <- r
	}
	f.Follower = configuration.NewFollower(kvs.client(), prefix, publish, f.revision.Load, logrus.NewEntry(log), time.Now)
	t.Cleanup(f.Stop)
	return f
}

func (f *testFollower) next(t *testing.T) fleet.Records {
	t.Helper()
	select {
	case r := <-f.published:
		return r
	case <-time.After(waitLimit):
		require.FailNow(t, "the follower published nothing")
	}
	return fleet.Records{}
}

func TestFollowerPublishesStoredAndNewRecords(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	commit(t, s, proposal("b"))
	f := newTestFollower(t, kvs)
	f.SetWatching(true)
	r := f.next(t)
	require.Equal(t, int64(2), r.Head)
	require.Len(t, r.Records, 2)
	encoded := commit(t, s, proposal("c")).Encoded
	require.Equal(t, fleet.Records{Head: 3, Records: [][]byte{encoded}}, f.next(t))
}

func TestFollowerFarBehindReadsSnapshotAndLaterRecords(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	const changes = 205
	for i := range changes {
		commit(t, s, proposal(fmt.Sprint(i)))
	}
	f := newTestFollower(t, kvs)
	f.SetWatching(true)
	r := f.next(t)
	require.Equal(t, int64(changes), r.Head)
	from, err := catalog.DecodeSnapshot(r.Snapshot)
	require.NoError(t, err)
	require.Len(t, r.Records, changes-int(from.Revision))
	last, err := catalog.DecodeRecord(r.Records[len(r.Records)-1])
	require.NoError(t, err)
	require.Equal(t, int64(changes), last.Revision)
}

func TestFollowerResumesAfterOutage(t *testing.T) {
	kvs := newKVService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	f := newTestFollower(t, kvs)
	f.SetWatching(true)
	f.next(t)
	kvs.SetFaults(standin.KVFaults{Down: true})
	kvs.SetFaults(standin.KVFaults{})
	commit(t, s, proposal("b"))
	require.Equal(t, int64(2), f.next(t).Head)
}

func TestFollowerPublishesHeadThatMovedBackward(t *testing.T) {
	kvs := newKVService(t)
	commit(t, kvs.store(), proposal("a"))
	f := newTestFollower(t, kvs)
	f.revision.Store(5)
	f.SetWatching(true)
	require.Equal(t, fleet.Records{Head: 1}, f.next(t))
}

func TestStoppedFollowerDoesNotWatchAgain(t *testing.T) {
	kvs := newKVService(t)
	f := newTestFollower(t, kvs)
	f.SetWatching(true)
	f.Stop()
	commit(t, kvs.store(), proposal("a"))
	reads, _, _, _ := kvs.Usage()
	f.SetWatching(true)
	require.Never(t, func() bool {
		after, _, _, _ := kvs.Usage()
		return after != reads || len(f.published) > 0
	}, 100*time.Millisecond, 5*time.Millisecond)
}

func TestFollowerPublishesThatNothingWasEverStored(t *testing.T) {
	kvs := newKVService(t)
	f := newTestFollower(t, kvs)
	f.SetWatching(true)
	require.Equal(t, fleet.Records{}, f.next(t))
	encoded := commit(t, kvs.store(), proposal("a")).Encoded
	require.Equal(t, fleet.Records{Head: 1, Records: [][]byte{encoded}}, f.next(t))
}
