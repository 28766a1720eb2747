// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import "sync/atomic"

const (
	// maxPendingEvent is the size in bytes up to which an incomplete event is buffered. A larger size allows larger events; a smaller one limits
	// what a single stream can take.
	maxPendingEvent = 1 << 20
	// freePendingEvent is the size of an incomplete event that each stream may buffer, and maxPendingTotal that of all larger ones together.
	// Larger sizes allow more streams with large events at once, smaller ones limit the memory that endpoints can take by events without end.
	freePendingEvent = 16 << 10
	maxPendingTotal  = 8 << 20
)

// pendingBudget is the memory for large incomplete events, which all streams share. It is safe for concurrent use.
type pendingBudget struct {
	used atomic.Int64
}

// reserve takes a number of bytes, or returns false if fewer are left.
func (b *pendingBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) <= maxPendingTotal {
		return true
	}
	b.used.Add(-bytes)
	return false
}

func (b *pendingBudget) release(bytes int64) {
	b.used.Add(-bytes)
}
