// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stats

import (
	"cmp"
	"math"
	"slices"
)

// Percentile gives the value at a share q (0 to 1) of the values by nearest rank, and the zero
// value for none. It sorts the values in place.
func Percentile[T cmp.Ordered](values []T, q float64) T {
	if len(values) == 0 {
		var none T
		return none
	}
	slices.Sort(values)
	return values[max(0, min(len(values), int(math.Ceil(q*float64(len(values)))))-1)]
}

// Line is a straight line fitted to measured points.
type Line struct {
	Slope, AtZero float64
	// Error is the greatest distance of a point from the line, as a part of the greatest value.
	Error float64
}

// Fit gives the least squares line through the points.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	l := Line{Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx)}
	l.AtZero = (sy - l.Slope*sx) / n
	most := slices.Max(ys)
	for i, x := range xs {
		l.Error = max(l.Error, math.Abs(ys[i]-l.AtZero-l.Slope*x)/most)
	}
	return l
}
