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
	sentAt = time.Unix(1000, 0)
	keys   = claim.KeysOf(prefix, pool)
)

// newKVClient starts a key-value service for the test and returns a client of it.
func newKVClient(t *testing.T) *kv.Client {
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

// readLastOwner returns the pool's last owner.
func readLastOwner(t *testing.T, c *kv.Client) claim.LastOwner {
	t.Helper()
	pair, found, err := c.Get(context.Background(), keys.Owner)
	require.NoError(t, err)
	last, err := claim.Decode(pair, found)
	require.NoError(t, err)
	return last
}

// newAttempt returns an attempt of the instance with the identifier, based on the owner that it last read.
func newAttempt(id string, leaseID int64, last claim.LastOwner) claim.Attempt {
	return claim.Attempt{Keys: keys, Lease: leaseID, Revision: last.Revision, Owner: last.Owner.Successor(id, boot)}
}

// acquire makes an attempt and reports whether the pool is owned under its lease.
func acquire(t *testing.T, c *kv.Client, a claim.Attempt) bool {
	t.Helper()
	answer, err := c.Txn(context.Background(), claim.Acquire(a))
	require.NoError(t, err)
	return claim.Holds(answer, a.Lease)
}

func TestKeysOfPoolAreStable(t *testing.T) {
	require.Equal(t, claim.Keys{Lease: "/test/lease/h1/x", Owner: "/test/owner/h1/x"}, keys)
}

func TestPoolIsOwnedByOneInstanceAtATime(t *testing.T) {
	c := newKVClient(t)
	own, anothers := grant(t, c), grant(t, c)
	require.True(t, acquire(t, c, newAttempt(ownID, own, readLastOwner(t, c))))
	require.False(t, acquire(t, c, newAttempt(anotherID, anothers, readLastOwner(t, c))))
	require.True(t, readLastOwner(t, c).Owner.IsRun(ownID, boot), "a failed attempt does not change the owner")
}

func TestAttemptSucceedsAgainAfterLostAnswer(t *testing.T) {
	c := newKVClient(t)
	own := grant(t, c)
	before := readLastOwner(t, c)
	require.True(t, acquire(t, c, newAttempt(ownID, own, before)))
	require.True(t, acquire(t, c, newAttempt(ownID, own, before)), "the same call, sent twice")
	require.True(t, acquire(t, c, newAttempt(ownID, own, readLastOwner(t, c))), "a new attempt")
	require.Empty(t, readLastOwner(t, c).Owner.FormerOwners, "an owner does not wait for itself")
}

func TestLateAttemptDoesNotOverwriteOwner(t *testing.T) {
	c := newKVClient(t)
	own, anothers := grant(t, c), grant(t, c)
	before := readLastOwner(t, c)
	require.True(t, acquire(t, c, newAttempt(anotherID, anothers, before)))
	require.NoError(t, c.Revoke(context.Background(), anothers))
	require.False(t, acquire(t, c, newAttempt(ownID, own, before)), "the owner was read before the other instance acquired the pool")
	require.True(t, acquire(t, c, newAttempt(ownID, own, readLastOwner(t, c))))
	require.Equal(t, []lease.FormerOwner{{ID: anotherID, Boot: boot}}, readLastOwner(t, c).Owner.FormerOwners)
}

func TestKeyOfPreviousLeaseIsNotHeldUnderNewLease(t *testing.T) {
	c := newKVClient(t)
	first := grant(t, c)
	require.True(t, acquire(t, c, newAttempt(ownID, first, readLastOwner(t, c))))
	second := grant(t, c)
	require.False(t, acquire(t, c, newAttempt(ownID, second, readLastOwner(t, c))), "the key belongs to the first lease and ends with it")
}

func TestReleaseDeletesOnlyUnchangedKey(t *testing.T) {
	ctx := context.Background()
	c := newKVClient(t)
	own, anothers := grant(t, c), grant(t, c)
	require.True(t, acquire(t, c, newAttempt(ownID, own, readLastOwner(t, c))))
	pair, _, err := c.Get(ctx, keys.Lease)
	require.NoError(t, err)
	release := claim.Release(keys, pair.ModRevision)
	answer, err := c.Txn(ctx, release)
	require.NoError(t, err)
	require.True(t, answer.Succeeded)
	require.True(t, acquire(t, c, newAttempt(anotherID, anothers, readLastOwner(t, c))))
	answer, err = c.Txn(ctx, release)
	require.NoError(t, err)
	require.False(t, answer.Succeeded, "a repeated release does not delete the successor's key")
	_, found, err := c.Get(ctx, keys.Lease)
	require.NoError(t, err)
	require.True(t, found)
}

func TestSettleRemovesFormerOwnersOnlyIfOwnerUnchanged(t *testing.T) {
	ctx := context.Background()
	c := newKVClient(t)
	anothers, own := grant(t, c), grant(t, c)
	require.True(t, acquire(t, c, newAttempt(anotherID, anothers, readLastOwner(t, c))))
	require.NoError(t, c.Revoke(ctx, anothers))
	require.True(t, acquire(t, c, newAttempt(ownID, own, readLastOwner(t, c))))
	settle := claim.Settle(keys, readLastOwner(t, c).Revision, readLastOwner(t, c).Owner)
	answer, err := c.Txn(ctx, settle)
	require.NoError(t, err)
	require.True(t, answer.Succeeded)
	require.Equal(t, lease.StoredOwner{Holder: ownID, Boot: boot}, readLastOwner(t, c).Owner)
	answer, err = c.Txn(ctx, settle)
	require.NoError(t, err)
	require.False(t, answer.Succeeded, "the key was written since it was read")
}

func TestDecodeLastOwner(t *testing.T) {
	value := []byte(`{"holder":"i2","boot":7}`)
	last, err := claim.Decode(kv.Pair{Value: value, ModRevision: 4}, true)
	require.NoError(t, err)
	require.Equal(t, claim.LastOwner{Owner: lease.StoredOwner{Holder: anotherID, Boot: boot}, Revision: 4}, last)
	last, err = claim.Decode(kv.Pair{}, false)
	require.NoError(t, err)
	require.Zero(t, last, "a pool that never had an owner")
	for _, value := range []string{"", "{", `{"boot":-1}`, "[]"} {
		_, err = claim.Decode(kv.Pair{Key: []byte(keys.Owner), Value: []byte(value), ModRevision: 4}, true)
		require.ErrorAs(t, err, &claim.ErrInvalidOwner{}, "%q", value)
		require.ErrorContains(t, err, keys.Owner, "%q", value)
	}
}

func TestHoldsByAnswerToAcquire(t *testing.T) {
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
		{"succeeded", kv.TxnResponse{Succeeded: true}, true},
		{"failed, no responses", kv.TxnResponse{}, false},
		{"failed, a response without range", kv.TxnResponse{Responses: []kv.OpResponse{{}}}, false},
		{"failed, no lease key since the owner changed", held(), false},
		{"failed, the lease key is of the own lease", held(3), true},
		{"failed, the lease key is of another lease", held(4), false},
	} {
		require.Equal(t, row.holds, claim.Holds(row.answer, 3), row.name)
	}
}

func TestLeaseStateAndRenewalAfterKeepAlive(t *testing.T) {
	for _, row := range []struct {
		name   string
		err    error
		state  claim.LeaseState
		result node.LeaseResult
	}{
		{"answered", nil, claim.Alive, node.LeaseResult{OK: true, SentAt: sentAt}},
		{"the lease is gone", kv.ErrLeaseNotFound{ID: 3}, claim.Lapsed, node.LeaseResult{Expired: true}},
		{"not sent or refused", kv.ErrNotDone{}, claim.Unclear, node.LeaseResult{SentAt: sentAt}},
		{"the answer was lost", kv.ErrOutcomeUnknown{}, claim.Unclear, node.LeaseResult{SentAt: sentAt}},
		{"any other error", errors.New("cause"), claim.Unclear, node.LeaseResult{SentAt: sentAt}},
	} {
		state := claim.LeaseStateAfter(row.err)
		require.Equal(t, row.state, state, row.name)
		require.Equal(t, row.result, claim.Renewal(sentAt, state), row.name)
	}
}
