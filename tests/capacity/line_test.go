// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// line is a straight line fitted to measured points.
type line struct {
	slope, atZero float64
	// deviation is the greatest distance of a point from the line, as a part of the greatest value.
	deviation float64
}

// fit gives the least squares line through the points.
func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	l := line{slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.atZero = (sy - l.slope*sx) / n
	most := slices.Max(ys)
	for i, x := range xs {
		l.deviation = max(l.deviation, math.Abs(ys[i]-l.atZero-l.slope*x)/most)
	}
	return l
}

func TestFitFindsTheLineAndItsError(t *testing.T) {
	l := fit([]float64{1, 2, 3}, []float64{3, 5, 7})
	require.InDelta(t, 2, l.slope, 1e-9)
	require.InDelta(t, 1, l.atZero, 1e-9)
	require.InDelta(t, 0, l.deviation, 1e-9)
	require.InDelta(t, 0.5, fit([]float64{0, 1, 2}, []float64{1, 4, 1}).deviation, 1e-9)
}
