// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gen

import (
	"math"
	"math/rand/v2"
	"sort"
)

// zipf draws ranks with a probability that falls as rank to the power of the exponent.
type zipf struct {
	sums []float64
}

func newZipf(count int, exponent float64) *zipf {
	z := &zipf{sums: make([]float64, count)}
	sum := 0.0
	for i := range z.sums {
		sum += 1 / math.Pow(float64(i+1), exponent)
		z.sums[i] = sum
	}
	return z
}

func (z *zipf) draw(r *rand.Rand) int {
	x := r.Float64() * z.sums[len(z.sums)-1]
	return sort.SearchFloat64s(z.sums, x)
}

// ordering maps ranks to adapters; a flip gives another ordering.
type ordering []int

func newOrdering(count int, r *rand.Rand) ordering {
	return ordering(r.Perm(count))
}

// logNormal draws a positive size with the given median and spread, at least one.
func logNormal(r *rand.Rand, median, spread float64) int {
	return max(1, int(median*math.Exp(r.NormFloat64()*spread)))
}
