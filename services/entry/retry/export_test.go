// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

// Kept gives how many services the budget keeps something of, and how many entries of the windows of all.
func (b *Budget) Kept() (services, entries int) {
	for _, w := range b.services {
		entries += len(w.requests) + len(w.retries)
	}
	return len(b.services), entries
}
