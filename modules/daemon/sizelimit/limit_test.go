// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sizelimit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/sizelimit"
)

// limit is the maximum number of entries of the tested maps.
const limit = 10

// fill returns a map of the integers below n, whose weights are their values.
func fill(n int) map[int]float64 {
	entries := make(map[int]float64)
	for i := range n {
		entries[i] = float64(i)
	}
	return entries
}

func byValue(_ int, value float64) (float64, bool) {
	return value, true
}

func TestExceededAboveLimitOnly(t *testing.T) {
	l := sizelimit.New(limit)
	require.False(t, l.Exceeded(limit))
	require.True(t, l.Exceeded(limit+1))
}

func TestReduceKeepsHighestWeights(t *testing.T) {
	l := sizelimit.New(limit)
	entries := fill(limit + 1)
	sizelimit.Reduce(&l, entries, byValue)
	require.Equal(t, map[int]float64{6: 6, 7: 7, 8: 8, 9: 9, 10: 10}, entries)
	require.False(t, l.Exceeded(limit))
	require.True(t, l.Exceeded(limit+1))
}

// TestReduceKeepsWhatMustBeKept checks that a map with many such entries is not reduced again before it has doubled.
func TestReduceKeepsWhatMustBeKept(t *testing.T) {
	l := sizelimit.New(limit)
	entries := fill(3 * limit)
	sizelimit.Reduce(&l, entries, func(key int, value float64) (float64, bool) { return value, key >= 2*limit })
	require.Len(t, entries, 2*limit)
	require.False(t, l.Exceeded(4*limit))
	require.True(t, l.Exceeded(4*limit+1))
}

func TestReduceOfSmallMapDropsNothing(t *testing.T) {
	l := sizelimit.New(limit)
	entries := fill(limit / 2)
	sizelimit.Reduce(&l, entries, byValue)
	require.Len(t, entries, limit/2)
}
