// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ring

import (
	"github.com/cespare/xxhash/v2"
)

// Score gives the weight of one candidate for a key.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return mix(d.Sum64())
}

// mix spreads the bits, since keys that differ little give hashes that are compared whole.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Best gives the candidate with the highest score, or an empty string for none.
func Best(key string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		s := Score(key, c)
		if best == "" || s > bestScore || (s == bestScore && c < best) {
			best, bestScore = c, s
		}
	}
	return best
}
