// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import "github.com/shelfledge/shelfledge/models/entry/deployment"

// Kept returns the number of stored versions of an adapter.
func (v *Versions) Kept(adapter deployment.Adapter) int {
	return len(v.named[adapter])
}
