// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report

// Size returns the number of stored adapters and callers.
func (ct *Counter) Size() int {
	return len(ct.arrivals) + len(ct.rates) + len(ct.expectedRetries)
}
