// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stats_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/stats"
)

func TestPercentileUsesNearestRank(t *testing.T) {
	values := []int{40, 10, 30, 20}
	require.Equal(t, 20, stats.Percentile(values, 0.5))
	require.Equal(t, 40, stats.Percentile(values, 0.95))
	require.Equal(t, 10, stats.Percentile(values, 0))
	require.Zero(t, stats.Percentile([]float64(nil), 0.5))
}
