// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

const pool = "h1/base"

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func newLease() *lease.Lease {
	return lease.New(lease.Options{TTL: 10 * time.Second, Margin: 3 * time.Second, Renew: 3 * time.Second, Retry: time.Second})
}

func TestUnansweredPoolRequestIsRepeatedAfterRetryTime(t *testing.T) {
	l := newLease()
	require.True(t, l.AcquireDue(begin, pool))
	for _, row := range []struct {
		at  time.Duration
		due bool
	}{{0, false}, {time.Second - 1, false}, {time.Second, true}, {time.Second, false}, {2*time.Second - 1, false}, {2 * time.Second, true}} {
		require.Equal(t, row.due, l.AcquireDue(after(row.at), pool), "at %v", row.at)
	}
	require.True(t, l.AcquireDue(after(2*time.Second), "h1/other"), "each pool has a retry time of its own")
}

func TestOwnedPoolIsNotRequestedUntilRemoved(t *testing.T) {
	l := newLease()
	require.True(t, l.AcquireDue(begin, pool))
	require.True(t, l.AddPool(pool))
	require.False(t, l.AcquireDue(after(time.Hour), pool))
	l.RemovePool(pool)
	require.False(t, l.Owns(pool))
	require.True(t, l.AcquireDue(after(time.Millisecond), pool), "a new takeover requests the pool at once, without the retry time")
}

func TestRepeatedOwnershipAnswerHasNoEffect(t *testing.T) {
	l := newLease()
	require.True(t, l.AddPool(pool))
	require.False(t, l.AddPool(pool), "a repeated answer must not restart the wait for the former owners")
	require.True(t, l.Owns(pool))
}

func TestRenewalIsDueOnlyWhilePoolsAreOwned(t *testing.T) {
	l := newLease()
	require.False(t, l.RenewDue(begin))
	l.AddPool(pool)
	require.True(t, l.RenewDue(begin))
	require.False(t, l.RenewDue(after(3*time.Second-1)))
	require.True(t, l.RenewDue(after(3*time.Second)), "a lost answer does not delay the next renewal")
	require.True(t, l.Lapse(0))
	require.False(t, l.RenewDue(after(time.Minute)))
	require.True(t, l.AcquireDue(after(time.Minute), pool), "after a lapse the pool is requested at once")
}

func TestLeaseValidityCountsFromRenewalSendTime(t *testing.T) {
	l := newLease()
	for _, row := range []struct {
		name        string
		sent, until time.Duration
	}{
		{"first answer", 0, 7 * time.Second},
		{"the same answer again", 0, 7 * time.Second},
		{"later renewal", 3 * time.Second, 10 * time.Second},
		{"late answer to an earlier renewal", 2 * time.Second, 10 * time.Second},
		{"renewal after lost answers", 9 * time.Second, 16 * time.Second},
	} {
		require.Equal(t, after(row.until), l.Extend(after(row.sent)), row.name)
	}
}

func TestLapseDropsPoolsAndValidityOnce(t *testing.T) {
	l := newLease()
	require.False(t, l.SwitchTo(1), "no lease was lost")
	l.AddPool(pool)
	l.Extend(begin)
	require.True(t, l.Lapse(1))
	require.False(t, l.Owns(pool))
	require.False(t, l.Lapse(1))
	require.Less(t, uint64(1), l.Number(), "answers about the lapsed lease are late")
	require.Equal(t, after(8*time.Second), l.Extend(after(time.Second)), "the validity of the lapsed lease does not continue")
}

func TestLaterLeaseDoesNotOwnPoolsOfPreviousLease(t *testing.T) {
	l := newLease()
	require.True(t, l.AcquireDue(begin, "h1/other"))
	require.False(t, l.SwitchTo(1), "the first lease")
	require.False(t, l.AcquireDue(begin, "h1/other"), "the earlier request is still in progress")
	l.AddPool(pool)
	l.Extend(begin)
	require.False(t, l.SwitchTo(1), "the same lease")
	require.True(t, l.Owns(pool))
	require.True(t, l.SwitchTo(2))
	require.False(t, l.Owns(pool))
	require.True(t, l.AcquireDue(after(time.Millisecond), pool), "the pool is requested at once")
	require.False(t, l.SwitchTo(1), "a late answer about the former lease")
	require.False(t, l.Lapse(1), "a late lapse of the former lease")
	require.Equal(t, uint64(2), l.Number())
}

func TestSeededFaultNeverLapsesLease(t *testing.T) {
	l := lease.New(lease.Options{TTL: time.Second, NeverLapses: true})
	require.True(t, l.Extend(begin).After(after(time.Hour)))
}
