// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report

// Size is how many adapters and callers are remembered.
func (ct *Counter) Size() int {
	return len(ct.arrivals) + len(ct.rates) + len(ct.returns)
}
