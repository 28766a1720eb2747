// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import "context"

// storeCall bounds one call to the store.
func (c *Coordinator) storeCall() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.context, c.options.StoreTimeout)
}

// noteStore logs and counts a failed call to the store.
func (c *Coordinator) noteStore(call string, err error) {
	if c.context.Err() != nil {
		return
	}
	if c.options.ObserveStoreFailure != nil {
		c.options.ObserveStoreFailure(call)
	}
	c.options.Log.WithError(err).WithField("call", call).Warn("the store did not answer as it should")
}
