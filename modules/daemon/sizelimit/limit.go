// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sizelimit

import (
	"cmp"
	"slices"
)

// keptShare is the divisor of the limit that gives the number of entries kept by Reduce. A larger one sorts less often, but drops more at once.
const keptShare = 2

// Limit is the maximum number of entries of one map. It is not safe for concurrent use.
type Limit struct {
	limit int
	// reduceAbove is the size above which the map is reduced next. It exceeds limit while too many entries must be kept.
	reduceAbove int
}

// New returns the limit of a map that has at most limit entries, apart from those that must be kept.
func New(limit int) Limit {
	return Limit{limit: limit, reduceAbove: limit}
}

// Exceeded reports whether a map of the given size must be reduced.
func (l *Limit) Exceeded(size int) bool {
	return size > l.reduceAbove
}

// candidate is an entry that may be dropped.
type candidate[K comparable] struct {
	key    K
	weight float64
}

// Reduce drops the entries with the lowest weights until half of the limit is left. weigh returns the weight of an entry, and false if the
// entry must be kept. The amortized cost of an insertion that is followed by a check of Exceeded is a logarithm of the limit.
func Reduce[K comparable, V any](l *Limit, entries map[K]V, weigh func(K, V) (weight float64, mayDrop bool)) {
	candidates := make([]candidate[K], 0, len(entries))
	for key, value := range entries {
		if weight, mayDrop := weigh(key, value); mayDrop {
			candidates = append(candidates, candidate[K]{key: key, weight: weight})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate[K]) int { return cmp.Compare(a.weight, b.weight) })
	excess := max(0, len(entries)-l.limit/keptShare)
	for _, c := range candidates[:min(excess, len(candidates))] {
		delete(entries, c.key)
	}
	l.reduceAbove = max(l.limit, keptShare*len(entries))
}
