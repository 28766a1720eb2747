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
	// Writes of a digest never give an error.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return mix(d.Sum64())
}

// mixShift and mixFactor are the shifts and the first factor of MurmurHash3's 64-bit finalizer. Changed, they would give each
// key another candidate: two versions of the program must agree on them.
const (
	mixShift  = 33
	mixFactor = 0xff51afd7ed558ccd
)

// mix spreads the bits, since keys that differ little give hashes that are compared whole.
func mix(h uint64) uint64 {
	h ^= h >> mixShift
	h *= mixFactor
	h ^= h >> mixShift
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
