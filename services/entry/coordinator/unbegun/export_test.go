// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package unbegun

// Kept gives how many requests are kept.
func (r *Requests) Kept() int {
	return len(r.unbounded) + len(r.beginBy)
}
