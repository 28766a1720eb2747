// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

// ServiceAdapter identifies an adapter of a service: the same adapter of two services is loaded and counted separately.
type ServiceAdapter struct {
	Service string
	Adapter Adapter
}
