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
	// waitLimit bounds the wait of a test for what must come.
	waitLimit = 10 * time.Second
)

// service is a key-value service with a switch for answers that are lost together with the service.
type service struct {
	*standin.KV
	address netip.AddrPort
	// downAfterWrite has the service go down right after the next write, whose answer is lost.
	downAfterWrite atomic.Bool
}

func newService(t *testing.T) *service {
	t.Helper()
	s := &service{KV: standin.NewKV()}
	inner := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/v3/kv/txn" || !s.downAfterWrite.CompareAndSwap(true, false) {
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

func (s *service) client() *kv.Client {
	return kv.New(kv.Options{Addresses: []netip.AddrPort{s.address}})
}

func (s *service) store() *configuration.Store {
	return configuration.NewStore(s.client(), prefix, func() time.Time { return time.Unix(0, 0) })
}

// proposal creates one adapter.
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

func TestARepeatedProposalIsCommittedOnce(t *testing.T) {
	kvs := newService(t)
	first := commit(t, kvs.store(), proposal("a"))
	require.Equal(t, int64(1), first.Record.Revision)
	again := commit(t, kvs.store(), proposal("a"))
	require.True(t, again.Repeated)
	require.Equal(t, first.Record.Revision, again.Record.Revision)
	require.Equal(t, int64(2), commit(t, kvs.store(), proposal("b")).Record.Revision)
}

func TestALostAnswerIsSettledByReading(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	kvs.SetFaults(standin.KVFaults{LoseAnswers: 1})
	require.Equal(t, int64(1), commit(t, s, proposal("a")).Record.Revision)
	require.Equal(t, int64(2), commit(t, s, proposal("b")).Record.Revision, "the first was stored once")
}

func TestAWriteWhoseEndCannotBeReadIsUnsettledUntilItIsRepeated(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	kvs.downAfterWrite.Store(true)
	_, err := s.Commit(context.Background(), proposal("a"))
	require.True(t, configuration.IsErrUnsettled(err), "%v", err)
	require.ErrorContains(t, err, "change a may or may not have been accepted")
	kvs.SetFaults(standin.KVFaults{})
	require.True(t, commit(t, s, proposal("a")).Repeated)
}

func TestNothingIsChangedWhileTheServiceIsDown(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	kvs.SetFaults(standin.KVFaults{Down: true})
	_, err := s.Commit(context.Background(), proposal("a"))
	require.True(t, configuration.IsErrUnavailable(err), "%v", err)
	require.Empty(t, kvs.Dump())
	kvs.SetFaults(standin.KVFaults{})
	require.False(t, commit(t, s, proposal("a")).Repeated)
}

func TestAStoreFollowsTheChangesOfOthers(t *testing.T) {
	kvs := newService(t)
	one, other := kvs.store(), kvs.store()
	commit(t, one, proposal("a"))
	commit(t, other, proposal("b"))
	require.Equal(t, int64(3), commit(t, one, proposal("c")).Record.Revision)
	_, err := other.Commit(context.Background(), configuration.Proposal{ID: "d", Changes: proposal("c").Changes})
	var bad catalog.ErrBadChange
	require.ErrorAs(t, err, &bad, "the adapter exists already")
}

func TestAProposalBasedOnAnOlderRevisionNamesTheChangeThatCameFirst(t *testing.T) {
	kvs := newService(t)
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

func TestAPreviewStoresNothing(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	r, err := s.Preview(context.Background(), proposal("a"))
	require.NoError(t, err)
	require.Equal(t, int64(1), r.Revision)
	require.Empty(t, kvs.Dump())
}

func TestChangesLargerThanAStoredValueAreRefused(t *testing.T) {
	kvs := newService(t)
	p := proposal("a")
	for i := range 60_000 {
		// Names that differ everywhere, so that they are not compressed away.
		p.Changes = append(p.Changes, catalog.Change{Kind: catalog.CreateAdapter, Name: fmt.Sprintf("%x", uint64(i+1)*0x9e3779b97f4a7c15), Base: "base"})
	}
	_, err := kvs.store().Commit(context.Background(), p)
	var large configuration.ErrTooLarge
	require.ErrorAs(t, err, &large)
	require.Empty(t, kvs.Dump())
}

func TestAHeadThatWentBackIsNotFollowed(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	older := kvs.Dump()
	commit(t, s, proposal("b"))
	kvs.Restore(older)
	_, err := s.Commit(context.Background(), proposal("c"))
	require.True(t, configuration.IsErrUnavailable(err))
	require.ErrorContains(t, err, "it went back from revision 2 to 1")
}

func TestANewStoreReadsSnapshotAndRecords(t *testing.T) {
	kvs := newService(t)
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
	require.Equal(t, 1, snapshots, "written once after 200 records")
	fresh := kvs.store()
	require.Equal(t, int64(changes+1), commit(t, fresh, proposal("next")).Record.Revision)
	_, err := fresh.Commit(context.Background(), configuration.Proposal{ID: "x", Changes: proposal("0").Changes})
	require.ErrorContains(t, err, "it exists already", "what the snapshot alone holds is known")
	r, found, err := fresh.Record(context.Background(), 7)
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, "6", r.ID)
	_, found, err = fresh.Record(context.Background(), changes+2)
	require.NoError(t, err)
	require.False(t, found)
}

// followed is a follower with what it has offered, of which the head is taken as in force at once.
type followed struct {
	*configuration.Follower
	offers   chan fleet.Records
	revision atomic.Int64
}

func follow(t *testing.T, kvs *service) *followed {
	t.Helper()
	f := &followed{offers: make(chan fleet.Records, 100)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	offer := func(r fleet.Records) {
		f.revision.Store(r.Head)
		f.offers <- r
	}
	f.Follower = configuration.NewFollower(kvs.client(), prefix, offer, f.revision.Load, logrus.NewEntry(log), time.Now)
	t.Cleanup(f.Stop)
	return f
}

func (f *followed) next(t *testing.T) fleet.Records {
	t.Helper()
	select {
	case r := <-f.offers:
		return r
	case <-time.After(waitLimit):
		require.FailNow(t, "nothing was offered")
	}
	return fleet.Records{}
}

func TestAFollowerOffersWhatIsThereAndWhatComes(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	commit(t, s, proposal("b"))
	f := follow(t, kvs)
	f.SetWatching(true)
	r := f.next(t)
	require.Equal(t, int64(2), r.Head)
	require.Len(t, r.Records, 2)
	encoded := commit(t, s, proposal("c")).Encoded
	require.Equal(t, fleet.Records{Head: 3, Records: [][]byte{encoded}}, f.next(t))
}

func TestAFollowerThatIsFarBehindGetsTheSnapshotAndOnlyWhatFollows(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	const changes = 205
	for i := range changes {
		commit(t, s, proposal(fmt.Sprint(i)))
	}
	f := follow(t, kvs)
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

func TestAFollowerGoesOnAfterAnOutage(t *testing.T) {
	kvs := newService(t)
	s := kvs.store()
	commit(t, s, proposal("a"))
	f := follow(t, kvs)
	f.SetWatching(true)
	f.next(t)
	kvs.SetFaults(standin.KVFaults{Down: true})
	kvs.SetFaults(standin.KVFaults{})
	commit(t, s, proposal("b"))
	require.Equal(t, int64(2), f.next(t).Head)
}

func TestAFollowerOffersAHeadThatWentBackForTheAlarm(t *testing.T) {
	kvs := newService(t)
	commit(t, kvs.store(), proposal("a"))
	f := follow(t, kvs)
	f.revision.Store(5)
	f.SetWatching(true)
	require.Equal(t, fleet.Records{Head: 1}, f.next(t))
}

func TestAFollowerThatWasStoppedDoesNotWatchAgain(t *testing.T) {
	kvs := newService(t)
	f := follow(t, kvs)
	f.SetWatching(true)
	f.Stop()
	commit(t, kvs.store(), proposal("a"))
	reads, _, _, _ := kvs.Usage()
	f.SetWatching(true)
	require.Never(t, func() bool {
		after, _, _, _ := kvs.Usage()
		return after != reads || len(f.offers) > 0
	}, 100*time.Millisecond, 5*time.Millisecond)
}
