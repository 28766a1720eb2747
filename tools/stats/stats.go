// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package stats

import (
	"cmp"
	"math"
	"slices"
)

// Percentile returns the value at quantile q (0 to 1) by the nearest-rank method, or the zero value for an empty slice.
// It sorts the values in place.
func Percentile[T cmp.Ordered](values []T, q float64) T {
	if len(values) == 0 {
		var none T
		return none
	}
	slices.Sort(values)
	return values[max(0, min(len(values), int(math.Ceil(q*float64(len(values)))))-1)]
}
