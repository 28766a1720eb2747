// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package claim_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/control/claim"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
	"github.com/shelfledge/shelfledge/tests/standin"
)

const (
	prefix    = "/test"
	pool      = "h1/x"
	ttl       = time.Minute
	boot      = 7
	ownID     = "i1"
	anotherID = "i2"
)

var (
	sent = time.Unix(1000, 0)
	keys = claim.KeysOf(prefix, pool)
)

// store gives a client of a key-value service of this test's own.
func store(t *testing.T) *kv.Client {
	t.Helper()
	server := httptest.NewServer(standin.NewKV().Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return kv.New(kv.Options{Addresses: []netip.AddrPort{address}, ReadsPerSecond: 1000, WritesPerSecond: 1000})
}

func grant(t *testing.T, c *kv.Client) int64 {
	t.Helper()
	id, err := c.Grant(context.Background(), ttl)
	require.NoError(t, err)
	return id
}

// read gives the pool's last owner.
func read(t *testing.T, c *kv.Client) claim.Last {
	t.Helper()
	pair, found, err := c.Get(context.Background(), keys.Owner)
	require.NoError(t, err)
	last, err := claim.Decode(pair, found)
	require.NoError(t, err)
	return last
}

// attempt is one of the named instance with what it last read.
func attempt(id string, leaseID int64, last claim.Last) claim.Attempt {
	return claim.Attempt{Keys: keys, Lease: leaseID, Revision: last.Revision, Owner: last.Owner.Successor(id, boot)}
}

// acquire reports whether the attempt owns the pool.
func acquire(t *testing.T, c *kv.Client, a claim.Attempt) bool {
	t.Helper()
	answer, err := c.Txn(context.Background(), claim.Acquire(a))
	require.NoError(t, err)
	return claim.Holds(answer, a.Lease)
}

func TestTheKeysOfAPoolStayAsOtherVersionsKnowThem(t *testing.T) {
	require.Equal(t, claim.Keys{Lease: "/test/lease/h1/x", Owner: "/test/owner/h1/x"}, keys)
}

func TestAPoolIsOwnedByOneInstanceAtATime(t *testing.T) {
	c := store(t)
	own, anothers := grant(t, c), grant(t, c)
	require.True(t, acquire(t, c, attempt(ownID, own, read(t, c))))
	require.False(t, acquire(t, c, attempt(anotherID, anothers, read(t, c))))
	require.True(t, read(t, c).Owner.Is(ownID, boot), "a vain attempt leaves the owner as it was")
}

func TestAnAttemptWhoseAnswerWasLostIsRepeatedWithSuccess(t *testing.T) {
	c := store(t)
	own := grant(t, c)
	before := read(t, c)
	require.True(t, acquire(t, c, attempt(ownID, own, before)))
	require.True(t, acquire(t, c, attempt(ownID, own, before)), "the very same call, sent twice")
	require.True(t, acquire(t, c, attempt(ownID, own, read(t, c))), "a new one")
	require.Empty(t, read(t, c).Owner.Formers, "it does not wait for itself")
}

func TestALateAttemptDoesNotOverwriteAnOwnerThatCameInBetween(t *testing.T) {
	c := store(t)
	own, anothers := grant(t, c), grant(t, c)
	before := read(t, c)
	require.True(t, acquire(t, c, attempt(anotherID, anothers, before)))
	require.NoError(t, c.Revoke(context.Background(), anothers))
	require.False(t, acquire(t, c, attempt(ownID, own, before)), "it was read before the other's time")
	require.True(t, acquire(t, c, attempt(ownID, own, read(t, c))))
	require.Equal(t, []lease.FormerOwner{{ID: anotherID, Boot: boot}}, read(t, c).Owner.Formers)
}

func TestTheKeyOfALapsedLeaseIsNotHeldUnderANewOne(t *testing.T) {
	c := store(t)
	first := grant(t, c)
	require.True(t, acquire(t, c, attempt(ownID, first, read(t, c))))
	second := grant(t, c)
	require.False(t, acquire(t, c, attempt(ownID, second, read(t, c))), "the key stands under the first lease and ends with it")
}

func TestAReleaseEndsOnlyTheKeyThatWasRead(t *testing.T) {
	ctx := context.Background()
	c := store(t)
	own, anothers := grant(t, c), grant(t, c)
	require.True(t, acquire(t, c, attempt(ownID, own, read(t, c))))
	pair, _, err := c.Get(ctx, keys.Lease)
	require.NoError(t, err)
	release := claim.Release(keys, pair.ModRevision)
	answer, err := c.Txn(ctx, release)
	require.NoError(t, err)
	require.True(t, answer.Succeeded)
	require.True(t, acquire(t, c, attempt(anotherID, anothers, read(t, c))))
	answer, err = c.Txn(ctx, release)
	require.NoError(t, err)
	require.False(t, answer.Succeeded, "a repeated release does not end the successor's key")
	_, found, err := c.Get(ctx, keys.Lease)
	require.NoError(t, err)
	require.True(t, found)
}

func TestSettlingEndsTheWaitForFormersUnlessTheOwnerChanged(t *testing.T) {
	ctx := context.Background()
	c := store(t)
	anothers, own := grant(t, c), grant(t, c)
	require.True(t, acquire(t, c, attempt(anotherID, anothers, read(t, c))))
	require.NoError(t, c.Revoke(ctx, anothers))
	require.True(t, acquire(t, c, attempt(ownID, own, read(t, c))))
	settle := claim.Settle(keys, read(t, c).Revision, read(t, c).Owner)
	answer, err := c.Txn(ctx, settle)
	require.NoError(t, err)
	require.True(t, answer.Succeeded)
	require.Equal(t, lease.StoredOwner{Holder: ownID, Boot: boot}, read(t, c).Owner)
	answer, err = c.Txn(ctx, settle)
	require.NoError(t, err)
	require.False(t, answer.Succeeded, "late: the key was written since")
}

func TestWhatIsReadOfALastOwner(t *testing.T) {
	value := []byte(`{"holder":"i2","boot":7}`)
	last, err := claim.Decode(kv.Pair{Value: value, ModRevision: 4}, true)
	require.NoError(t, err)
	require.Equal(t, claim.Last{Owner: lease.StoredOwner{Holder: anotherID, Boot: boot}, Revision: 4}, last)
	last, err = claim.Decode(kv.Pair{}, false)
	require.NoError(t, err)
	require.Zero(t, last, "a pool that never had an owner")
	for _, value := range []string{"", "{", `{"boot":-1}`, "[]"} {
		_, err = claim.Decode(kv.Pair{Key: []byte(keys.Owner), Value: []byte(value), ModRevision: 4}, true)
		require.ErrorAs(t, err, &claim.ErrBadOwner{}, "%q", value)
		require.ErrorContains(t, err, keys.Owner, "%q", value)
	}
}

func TestWhoHoldsAPoolAfterAnAttempt(t *testing.T) {
	held := func(leases ...int64) kv.TxnResponse {
		var pairs []kv.Pair
		for _, id := range leases {
			pairs = append(pairs, kv.Pair{Lease: id})
		}
		return kv.TxnResponse{Responses: []kv.OpResponse{{Range: &kv.RangeResponse{KVs: pairs}}}}
	}
	for _, row := range []struct {
		name   string
		answer kv.TxnResponse
		holds  bool
	}{
		{"done", kv.TxnResponse{Succeeded: true}, true},
		{"not done, nothing told", kv.TxnResponse{}, false},
		{"not done, another answer", kv.TxnResponse{Responses: []kv.OpResponse{{}}}, false},
		{"not done, no key: the owner changed", held(), false},
		{"not done, the own key", held(3), true},
		{"not done, another's key", held(4), false},
	} {
		require.Equal(t, row.holds, claim.Holds(row.answer, 3), row.name)
	}
}

func TestWhatFollowsFromACallToKeepALeaseAlive(t *testing.T) {
	for _, row := range []struct {
		name     string
		err      error
		standing claim.Standing
		result   node.LeaseResult
	}{
		{"answered", nil, claim.Alive, node.LeaseResult{OK: true, SentAt: sent}},
		{"the lease is gone", kv.ErrLeaseNotFound{ID: 3}, claim.Lapsed, node.LeaseResult{Gone: true}},
		{"not sent or refused", kv.ErrNotDone{}, claim.Unclear, node.LeaseResult{SentAt: sent}},
		{"its answer was lost", kv.ErrOutcomeUnknown{}, claim.Unclear, node.LeaseResult{SentAt: sent}},
		{"any other", errors.New("cause"), claim.Unclear, node.LeaseResult{SentAt: sent}},
	} {
		standing := claim.StandingAfter(row.err)
		require.Equal(t, row.standing, standing, row.name)
		require.Equal(t, row.result, claim.Renewal(sent, standing), row.name)
	}
}
