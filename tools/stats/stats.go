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
