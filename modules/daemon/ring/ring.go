// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ring

import (
	"github.com/cespare/xxhash/v2"
)

// Score returns the rank of a candidate for a key; the candidate with the highest score is the best.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest never fails.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return mixBits(d.Sum64())
}

// mixShift and mixFactor are the shift and the first factor of MurmurHash3's 64-bit finalizer. A change would assign keys to other
// candidates, and instances of different versions must assign them alike.
const (
	mixShift  = 33
	mixFactor = 0xff51afd7ed558ccd
)

// mixBits spreads the differences between hashes over all bits. Scores are compared as integers, so that their high bits decide, and the
// hashes of similar keys may differ little in these.
func mixBits(h uint64) uint64 {
	h ^= h >> mixShift
	h *= mixFactor
	h ^= h >> mixShift
	return h
}

// Best returns the candidate with the highest score, or an empty string if there are no candidates.
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
