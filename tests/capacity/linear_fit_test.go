// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// linearFit is a straight line fitted to measured points.
type linearFit struct {
	slope, intercept float64
	// maxDeviation is the greatest vertical distance of a point from the line, divided by the greatest measured value.
	maxDeviation float64
}

// fitLine returns the least squares line through the points.
func fitLine(xs, ys []float64) linearFit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	l := linearFit{slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.intercept = (sy - l.slope*sx) / n
	maxY := slices.Max(ys)
	for i, x := range xs {
		l.maxDeviation = max(l.maxDeviation, math.Abs(ys[i]-l.intercept-l.slope*x)/maxY)
	}
	return l
}

func TestFitLineReturnsLineAndMaxDeviation(t *testing.T) {
	l := fitLine([]float64{1, 2, 3}, []float64{3, 5, 7})
	require.InDelta(t, 2, l.slope, 1e-9)
	require.InDelta(t, 1, l.intercept, 1e-9)
	require.InDelta(t, 0, l.maxDeviation, 1e-9)
	require.InDelta(t, 0.5, fitLine([]float64{0, 1, 2}, []float64{1, 4, 1}).maxDeviation, 1e-9)
}
