// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/budget"
)

const permitTTL = 45 * time.Second

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

// newLedger returns a ledger with a rate of one load per second, whose first token is available at begin.
func newLedger(atFullSpeed int) *budget.Ledger {
	return budget.NewLedger(after(-time.Second), budget.Limits{LoadsPerSecond: 1, AtFullSpeed: atFullSpeed}, permitTTL)
}

// nextPool returns the pool of the next permit, or an empty name.
func nextPool(l *budget.Ledger, now time.Time) string {
	p, _ := l.Grant(now)
	return p.Pool
}

func TestPermitsFollowRateAndSaveOneToken(t *testing.T) {
	l := newLedger(100)
	bid := func(at time.Time) { l.SetBid(at, "a", 1, false) }
	for _, row := range []struct {
		at      time.Duration
		granted bool
	}{{0, true}, {0, false}, {time.Second - 1, false}, {time.Second, true}, {time.Minute, true}, {time.Minute, false}} {
		bid(after(row.at))
		_, ok := l.Grant(after(row.at))
		require.Equal(t, row.granted, ok, "at %v", row.at)
	}
}

func TestHighestBidIsFirstAndPreloadsAreLast(t *testing.T) {
	l := newLedger(100)
	l.SetBid(begin, "c", 2, false)
	l.SetBid(begin, "b", 2, false)
	l.SetBid(begin, "a", 1, false)
	l.SetBid(begin, "p", 9, true)
	for i, want := range []string{"b", "c", "a", "p", ""} {
		require.Equal(t, want, nextPool(l, after(time.Duration(i)*time.Second)), "permit %d", i+1)
	}
}

func TestBidIsWithdrawnRenewedOrExpired(t *testing.T) {
	const bidTTL = 5 * time.Second
	for _, row := range []struct {
		name string
		bid  func(l *budget.Ledger)
		at   time.Duration
		want string
	}{
		{"withdrawn", func(l *budget.Ledger) { l.SetBid(begin, "a", 0, false) }, 0, ""},
		{"withdrawn twice", func(l *budget.Ledger) { l.SetBid(begin, "a", 0, false); l.SetBid(begin, "a", -1, false) }, 0, ""},
		{"repeated", func(l *budget.Ledger) { l.SetBid(begin, "a", 1, false) }, 0, "a"},
		{"not renewed", func(*budget.Ledger) {}, bidTTL, "a"},
		{"not renewed, expired", func(*budget.Ledger) {}, bidTTL + 1, ""},
		{"renewed", func(l *budget.Ledger) { l.SetBid(after(1), "a", 1, false) }, bidTTL + 1, "a"},
	} {
		l := newLedger(100)
		l.SetBid(begin, "a", 1, false)
		row.bid(l)
		require.Equal(t, row.want, nextPool(l, after(row.at)), row.name)
	}
}

func TestBidIsGrantedOnce(t *testing.T) {
	l := newLedger(100)
	l.SetBid(begin, "a", 1, false)
	require.Equal(t, "a", nextPool(l, begin))
	require.Empty(t, nextPool(l, after(time.Second)))
}

func TestConcurrentLoadsAreLimited(t *testing.T) {
	l := newLedger(2)
	grant := func(at time.Duration, preload bool) (budget.Permit, bool) {
		l.SetBid(after(at), "a", 1, preload)
		return l.Grant(after(at))
	}
	first, ok := grant(0, true)
	require.True(t, ok)
	_, ok = grant(time.Second, true)
	require.False(t, ok, "the last permit is kept for a load for which requests wait")
	_, ok = grant(time.Second, false)
	require.True(t, ok)
	_, ok = grant(2*time.Second, false)
	require.False(t, ok, "both permits are outstanding")
	require.False(t, l.CanGrant(after(2*time.Second)))
	l.ReturnPermit(after(2*time.Second), first.ID, true)
	l.ReturnPermit(after(2*time.Second), first.ID, true)
	require.True(t, l.CanGrant(after(2*time.Second)))
	_, ok = grant(2*time.Second, false)
	require.True(t, ok)
	_, ok = grant(3*time.Second, false)
	require.False(t, ok, "a permit that is returned twice is counted once")
}

func TestUnusedPermitReturnsItsTokenOnce(t *testing.T) {
	l := newLedger(100)
	l.SetBid(begin, "a", 1, false)
	p, _ := l.Grant(begin)
	require.False(t, l.CanGrant(begin))
	l.ReturnPermit(begin, p.ID, false)
	l.ReturnPermit(begin, p.ID, false)
	l.SetBid(begin, "a", 1, false)
	require.Equal(t, "a", nextPool(l, begin))
	l.SetBid(begin, "a", 1, false)
	require.Empty(t, nextPool(l, begin))
	l.ReturnPermit(begin, 999, false)
	require.Empty(t, nextPool(l, begin), "returning an unknown permit has no effect")
}

func TestUnreturnedPermitExpires(t *testing.T) {
	for _, row := range []struct {
		at      time.Duration
		granted bool
	}{{permitTTL, false}, {permitTTL + 1, true}} {
		l := newLedger(1)
		l.SetBid(begin, "a", 1, false)
		require.Equal(t, "a", nextPool(l, begin))
		l.SetBid(after(row.at), "b", 1, false)
		_, ok := l.Grant(after(row.at))
		require.Equal(t, row.granted, ok, "after %v", row.at)
	}
}

func TestLimitsOfVisibleHalls(t *testing.T) {
	whole := budget.Limits{LoadsPerSecond: 12, AtFullSpeed: 5}
	for _, row := range []struct {
		visible, all int
		want         budget.Limits
	}{
		{3, 3, whole},
		{4, 3, whole},
		{1, 0, whole},
		{2, 3, budget.Limits{LoadsPerSecond: 8, AtFullSpeed: 3}},
		{1, 3, budget.Limits{LoadsPerSecond: 4, AtFullSpeed: 1}},
		{1, 6, budget.Limits{LoadsPerSecond: 2, AtFullSpeed: 1}},
	} {
		require.Equal(t, row.want, whole.Scale(row.visible, row.all), "%d of %d halls", row.visible, row.all)
	}
}

func TestChangedRateAppliesFromChange(t *testing.T) {
	l := newLedger(100)
	l.SetBid(begin, "a", 1, false)
	require.Equal(t, "a", nextPool(l, begin))
	l.SetLimits(after(500*time.Millisecond), budget.Limits{LoadsPerSecond: 10, AtFullSpeed: 100})
	l.SetBid(after(500*time.Millisecond), "a", 1, false)
	require.Empty(t, nextPool(l, after(549*time.Millisecond)))
	require.Equal(t, "a", nextPool(l, after(551*time.Millisecond)), "half of the token accrues at the old rate, half at the new rate")
}

func TestNextWakeIsTimeOfNextToken(t *testing.T) {
	l := newLedger(1)
	require.Zero(t, l.NextWake(begin), "a token is available")
	l.SetBid(begin, "a", 1, false)
	p, _ := l.Grant(begin)
	require.Zero(t, l.NextWake(begin), "a token does not allow a permit while AtFullSpeed permits are outstanding")
	l.ReturnPermit(begin, p.ID, true)
	require.Equal(t, after(time.Second+time.Millisecond), l.NextWake(begin))
	l.SetLimits(begin, budget.Limits{AtFullSpeed: 1})
	require.Zero(t, l.NextWake(begin), "no token accrues at a rate of zero")
}
