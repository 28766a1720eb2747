// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/budget"
)

const permitLife = 45 * time.Second

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

// newLedger makes a ledger of one load a second that has its first token saved at begin.
func newLedger(atFullSpeed int) *budget.Ledger {
	return budget.NewLedger(after(-time.Second), budget.Limits{LoadsPerSecond: 1, AtFullSpeed: atFullSpeed}, permitLife)
}

// next gives the pool of the next permit, or an empty name.
func next(l *budget.Ledger, now time.Time) string {
	p, _ := l.Next(now)
	return p.Pool
}

func TestPermitsComeAtTheRateAndSaveUpOne(t *testing.T) {
	l := newLedger(100)
	bid := func(at time.Time) { l.Bid(at, "a", 1, false) }
	for _, row := range []struct {
		at      time.Duration
		granted bool
	}{{0, true}, {0, false}, {time.Second - 1, false}, {time.Second, true}, {time.Minute, true}, {time.Minute, false}} {
		bid(after(row.at))
		_, ok := l.Next(after(row.at))
		require.Equal(t, row.granted, ok, "at %v", row.at)
	}
}

func TestHighestBidIsFirstAndPreloadsAreLast(t *testing.T) {
	l := newLedger(100)
	l.Bid(begin, "c", 2, false)
	l.Bid(begin, "b", 2, false)
	l.Bid(begin, "a", 1, false)
	l.Bid(begin, "p", 9, true)
	for i, want := range []string{"b", "c", "a", "p", ""} {
		require.Equal(t, want, next(l, after(time.Duration(i)*time.Second)), "permit %d", i+1)
	}
}

func TestBidIsWithdrawnRepeatedOrForgotten(t *testing.T) {
	const bidLife = 5 * time.Second
	for _, row := range []struct {
		name string
		bid  func(l *budget.Ledger)
		at   time.Duration
		want string
	}{
		{"withdrawn", func(l *budget.Ledger) { l.Bid(begin, "a", 0, false) }, 0, ""},
		{"withdrawn, repeated", func(l *budget.Ledger) { l.Bid(begin, "a", 0, false); l.Bid(begin, "a", -1, false) }, 0, ""},
		{"repeated", func(l *budget.Ledger) { l.Bid(begin, "a", 1, false) }, 0, "a"},
		{"not renewed", func(*budget.Ledger) {}, bidLife, "a"},
		{"not renewed for longer than its life", func(*budget.Ledger) {}, bidLife + 1, ""},
		{"renewed", func(l *budget.Ledger) { l.Bid(after(1), "a", 1, false) }, bidLife + 1, "a"},
	} {
		l := newLedger(100)
		l.Bid(begin, "a", 1, false)
		row.bid(l)
		require.Equal(t, row.want, next(l, after(row.at)), row.name)
	}
}

func TestAGrantedBidIsNotGrantedTwice(t *testing.T) {
	l := newLedger(100)
	l.Bid(begin, "a", 1, false)
	require.Equal(t, "a", next(l, begin))
	require.Empty(t, next(l, after(time.Second)))
}

func TestPlacesAtFullSpeed(t *testing.T) {
	l := newLedger(2)
	grant := func(at time.Duration, preload bool) (budget.Permit, bool) {
		l.Bid(after(at), "a", 1, preload)
		return l.Next(after(at))
	}
	first, ok := grant(0, true)
	require.True(t, ok)
	_, ok = grant(time.Second, true)
	require.False(t, ok, "the last place is kept for a load that someone waits for")
	_, ok = grant(time.Second, false)
	require.True(t, ok)
	_, ok = grant(2*time.Second, false)
	require.False(t, ok, "both places are taken")
	require.False(t, l.Open(after(2*time.Second)))
	l.Done(after(2*time.Second), first.ID, true)
	l.Done(after(2*time.Second), first.ID, true)
	require.True(t, l.Open(after(2*time.Second)))
	_, ok = grant(2*time.Second, false)
	require.True(t, ok)
	_, ok = grant(3*time.Second, false)
	require.False(t, ok, "a repeated return frees one place only")
}

func TestUnusedPermitGivesItsTokenBackOnce(t *testing.T) {
	l := newLedger(100)
	l.Bid(begin, "a", 1, false)
	p, _ := l.Next(begin)
	require.False(t, l.Open(begin))
	l.Done(begin, p.ID, false)
	l.Done(begin, p.ID, false)
	l.Bid(begin, "a", 1, false)
	require.Equal(t, "a", next(l, begin))
	l.Bid(begin, "a", 1, false)
	require.Empty(t, next(l, begin))
	l.Done(begin, 999, false)
	require.Empty(t, next(l, begin), "a permit of another ledger is not known")
}

func TestPermitThatDoesNotComeBackIsForgotten(t *testing.T) {
	for _, row := range []struct {
		at      time.Duration
		granted bool
	}{{permitLife, false}, {permitLife + 1, true}} {
		l := newLedger(1)
		l.Bid(begin, "a", 1, false)
		require.Equal(t, "a", next(l, begin))
		l.Bid(after(row.at), "b", 1, false)
		_, ok := l.Next(after(row.at))
		require.Equal(t, row.granted, ok, "after %v", row.at)
	}
}

func TestPartOfTheRateByHallsInSight(t *testing.T) {
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
		require.Equal(t, row.want, whole.Part(row.visible, row.all), "%d of %d halls", row.visible, row.all)
	}
}

func TestChangedRateCountsFromItsChange(t *testing.T) {
	l := newLedger(100)
	l.Bid(begin, "a", 1, false)
	require.Equal(t, "a", next(l, begin))
	l.SetLimits(after(500*time.Millisecond), budget.Limits{LoadsPerSecond: 10, AtFullSpeed: 100})
	l.Bid(after(500*time.Millisecond), "a", 1, false)
	require.Empty(t, next(l, after(549*time.Millisecond)))
	require.Equal(t, "a", next(l, after(551*time.Millisecond)), "half a token at the old rate, half at the new")
}

func TestWakesWhenTheNextTokenIsThere(t *testing.T) {
	l := newLedger(1)
	require.Zero(t, l.NextWake(begin), "a token is there")
	l.Bid(begin, "a", 1, false)
	p, _ := l.Next(begin)
	require.Zero(t, l.NextWake(begin), "a token would not help, since no place is free")
	l.Done(begin, p.ID, true)
	require.Equal(t, after(time.Second+time.Millisecond), l.NextWake(begin))
	l.SetLimits(begin, budget.Limits{AtFullSpeed: 1})
	require.Zero(t, l.NextWake(begin), "no rate, no token")
}
