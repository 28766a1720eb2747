// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ring_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

// TestScoreIsStableAcrossVersions pins scores: instances of different versions run side by side and must compute the same ones.
func TestScoreIsStableAcrossVersions(t *testing.T) {
	for _, c := range []struct {
		key, candidate string
		score          uint64
	}{
		{"", "", 0x3daf02347999f1b3},
		{"h1/base", "i1", 0x2cc2f53473bfae83},
		{"h1/base", "i2", 0x520ff41fe4a3cfc9},
		{"ab", "c", 0x1f8e074c96b15667},
		{"a", "bc", 0x55b2b6e3b5f6a37f},
	} {
		require.Equal(t, c.score, ring.Score(c.key, c.candidate), "%q %q", c.key, c.candidate)
	}
}

func TestBestDoesNotDependOnCandidateOrder(t *testing.T) {
	require.Equal(t, "i2", ring.Best("h1/base", []string{"i1", "i2"}))
	require.Equal(t, "i2", ring.Best("h1/base", []string{"i2", "i1", "i2"}))
	require.Empty(t, ring.Best("h1/base", nil))
}

func TestRemovingCandidateMovesOnlyItsKeys(t *testing.T) {
	all := []string{"i1", "i2", "i3", "i4"}
	counts := make(map[string]int)
	for i := range 1000 {
		key := fmt.Sprint("key-", i)
		best := ring.Best(key, all)
		counts[best]++
		if best != "i4" {
			require.Equal(t, best, ring.Best(key, all[:3]), key)
		}
	}
	for _, candidate := range all {
		require.InDelta(t, 250, counts[candidate], 60, candidate)
	}
}
