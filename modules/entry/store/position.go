// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store

// revisionBits is the number of bits of a position that hold the store's own revision. The era takes those above.
const revisionBits = 40

// Position returns the position of a revision in the history of a store. A store that comes back from a copy gives out revisions again, in
// a higher era: positions grow all the same, so that all of them are compared as one number. In the first era, 0, a position is the
// revision itself.
func Position(era, revision int64) int64 {
	return era<<revisionBits | revision
}

// EraOf returns the era of a position.
func EraOf(position int64) int64 {
	return position >> revisionBits
}

// RevisionOf returns the store's own revision at a position.
func RevisionOf(position int64) int64 {
	return position & (1<<revisionBits - 1)
}
