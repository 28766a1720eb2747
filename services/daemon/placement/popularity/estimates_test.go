// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package popularity_test

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/popularity"
)

const (
	fast = 2 * time.Minute
	slow = 40 * time.Minute
)

var (
	begin = time.Unix(1000, 0)
	a     = fleet.AdapterRef{Name: "a", Version: 1}
	b     = fleet.AdapterRef{Name: "b", Version: 1}
)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func newEstimates() *popularity.Estimates {
	return popularity.New(popularity.Options{FastHalfLife: fast, SlowHalfLife: slow, SlowWeight: 1})
}

// adaptersOf returns all recorded adapters.
func adaptersOf(p *popularity.Estimates) []fleet.AdapterRef {
	return slices.Collect(maps.Keys(maps.Collect(p.SlowRanks())))
}

func TestRateHalvesAfterHalfLife(t *testing.T) {
	p := newEstimates()
	p.Add(begin, a, 1)
	first := p.Rate(begin, a)
	require.InDelta(t, math.Ln2/fast.Seconds(), first, 1e-12)
	require.InDelta(t, first/2, p.Rate(after(fast), a), 1e-12)
	require.InDelta(t, first/4, p.Rate(after(2*fast), a), 1e-12)
	require.InDelta(t, math.Ln2/slow.Seconds()/2, p.SlowRate(after(slow), a), 1e-12)
	require.InDelta(t, p.SlowRate(after(slow), a), p.Rate(after(slow), a), 1e-12, "the slow rate is the larger one after its half-life")
}

func TestRateSumsWeights(t *testing.T) {
	p := newEstimates()
	p.Add(begin, a, 1)
	p.Add(begin, a, 0.5)
	p.Add(begin, b, 1.5)
	require.InDelta(t, p.Rate(begin, b), p.Rate(begin, a), 1e-12)
}

func TestClockSetBackLeavesRatesUnchanged(t *testing.T) {
	p := newEstimates()
	p.Add(begin, a, 1)
	rate := p.Rate(begin, a)
	require.Equal(t, rate, p.Rate(after(-time.Hour), a))
	require.Equal(t, rate, p.Rate(begin, a))
}

func TestSlowWeightScalesTheSlowRate(t *testing.T) {
	p := popularity.New(popularity.Options{FastHalfLife: fast, SlowHalfLife: slow, SlowWeight: 100})
	p.Add(begin, a, 1)
	require.InDelta(t, 100*p.SlowRate(begin, a), p.Rate(begin, a), 1e-12)
}

func TestPruneDropsAdaptersWithDecayedRates(t *testing.T) {
	p := newEstimates()
	require.Zero(t, p.Rate(begin, a))
	require.Zero(t, p.SlowRate(begin, a))
	p.Add(begin, a, 1)
	p.Add(after(5*time.Hour), b, 1)
	p.Prune(after(5 * time.Hour))
	require.ElementsMatch(t, []fleet.AdapterRef{a, b}, adaptersOf(p), "at 1.6e-6 per second adapter a is kept")
	p.Prune(after(10 * time.Hour))
	require.Equal(t, []fleet.AdapterRef{b}, adaptersOf(p), "below 1e-7 per second adapter a is dropped")
	require.False(t, p.Contains(a))
	require.True(t, p.Contains(b))
	require.Zero(t, p.Rate(after(10*time.Hour), a))
}

// TestSlowRanksOrderAdaptersBySlowRate compares the ranks, which are computed at the last arrival, with the rates some time later.
func TestSlowRanksOrderAdaptersBySlowRate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := newEstimates()
	for i := range 2000 {
		ref := fleet.AdapterRef{Name: strconv.Itoa(random.IntN(50)), Version: 1}
		p.Add(after(time.Duration(i)*7*time.Second), ref, float64(1+random.IntN(3)))
	}
	later := after(5 * time.Hour)
	ranks := maps.Collect(p.SlowRanks())
	require.Len(t, ranks, 50)
	byRank := slices.SortedFunc(maps.Keys(ranks), func(x, y fleet.AdapterRef) int { return cmp.Compare(ranks[x], ranks[y]) })
	require.True(t, slices.IsSortedFunc(byRank, func(x, y fleet.AdapterRef) int {
		return cmp.Compare(p.SlowRate(later, x), p.SlowRate(later, y))
	}))
}

// TestLimitKeepsAdaptersWithHighestSlowRates lets many adapters be requested once after one that was requested often.
func TestLimitKeepsAdaptersWithHighestSlowRates(t *testing.T) {
	const adapters = 100_000
	p := newEstimates()
	p.Add(begin, a, 10)
	for i := range adapters {
		p.Add(after(time.Duration(i)*10*time.Millisecond), fleet.AdapterRef{Name: strconv.Itoa(i), Version: 1}, 1)
	}
	require.True(t, p.Contains(a))
	require.Less(t, len(adaptersOf(p)), adapters/2)
}
