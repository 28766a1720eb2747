// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

// Size returns the number of services in the budget and the number of entries in all their windows.
func (b *Budget) Size() (services, entries int) {
	for _, w := range b.services {
		entries += len(w.requests) + len(w.retries)
	}
	return len(b.services), entries
}
