// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loads_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node/loads"
)

const (
	interval = 20 * time.Millisecond
	resend   = 250 * time.Millisecond
)

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func TestPoolBidsEachIntervalWhileItWantsLoad(t *testing.T) {
	b := loads.NewBidder(interval)
	require.True(t, b.BidDue(begin))
	require.False(t, b.RecordBid(begin, false), "there is no bid to make or to withdraw")
	require.True(t, b.BidDue(begin), "the next bid stays due")
	require.True(t, b.RecordBid(begin, true))
	require.False(t, b.BidDue(after(interval-1)))
	require.True(t, b.BidDue(after(interval)))
	require.True(t, b.RecordBid(after(interval), false), "the open bid is withdrawn")
	require.False(t, b.RecordBid(after(2*interval), false), "the bid is withdrawn once")
}

func TestBidIsResentWhenRaisedOrAfterDelay(t *testing.T) {
	for _, row := range []struct {
		name  string
		after time.Duration
		value float64
		wants bool
		sent  bool
	}{
		{"the same value", 0, 4, true, false},
		{"a lower value", 0, 1, true, false},
		{"risen by exactly half", 0, 6, true, false},
		{"risen by more than half", 0, 6.01, true, true},
		{"the same value, just before the delay", resend - 1, 4, true, false},
		{"the same value, after the delay", resend, 4, true, true},
		{"withdrawn", 0, 0, false, true},
	} {
		b := loads.NewBidder(interval)
		require.True(t, b.SendDue(begin, 4, true))
		require.Equal(t, row.sent, b.SendDue(after(row.after), row.value, row.wants), row.name)
	}
}

func TestBidIsDueAtOnceAfterPermit(t *testing.T) {
	b := loads.NewBidder(interval)
	b.RecordBid(begin, true)
	b.SendDue(begin, 4, true)
	b.ResetAfterPermit()
	require.True(t, b.BidDue(begin))
	require.True(t, b.RecordBid(begin, true))
	require.True(t, b.SendDue(begin, 0.1, true), "a lower value too, since the receiver has dropped the old bid")
	b.ResetAfterPermit()
	b.ResetAfterPermit()
	require.True(t, b.BidDue(begin), "a repeated permit has no further effect")
}

func TestHallsWithSameViewChooseSameBudgetHall(t *testing.T) {
	require.Empty(t, loads.BudgetHall(nil))
	require.Equal(t, "h1", loads.BudgetHall([]string{"h1"}), "a hall that is cut off divides its own part")
	require.Equal(t, loads.BudgetHall([]string{"h1", "h2", "h3"}), loads.BudgetHall([]string{"h3", "h1", "h2"}))
}

// recoveryTime returns the time for which a pool recovers, to the millisecond.
func recoveryTime(pool string, spread time.Duration) time.Duration {
	age := time.Duration(0)
	for loads.Recovering(age, pool, "i1", spread) {
		age += time.Millisecond
	}
	return age
}

func TestPoolsRecoverAtDifferentTimes(t *testing.T) {
	require.False(t, loads.Recovering(0, "h1/base", "i1", 0), "without a spread there is no wait")
	require.False(t, loads.Recovering(-time.Second, "h1/base", "i1", 0))
	different := map[time.Duration]bool{}
	for _, pool := range []string{"h1/a", "h1/b", "h1/c", "h2/a", "h2/b"} {
		d := recoveryTime(pool, time.Second)
		require.Equal(t, d, recoveryTime(pool, time.Second), "the time is the same on each call")
		require.Less(t, d, time.Second)
		different[d] = true
	}
	require.Greater(t, len(different), 1)
}
