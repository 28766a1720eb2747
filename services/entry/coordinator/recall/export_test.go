// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package recall

// Kept returns the number of tracked requests.
func (r *Requests) Kept() int {
	return len(r.unbounded) + len(r.beginBy)
}
