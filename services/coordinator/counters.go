// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import "time"

// counters are what the coordinator counts for metrics and logs.
type counters struct {
	storeFailures  map[string]int
	storeFailedAt  time.Time
	orders         int
	ordersFailed   int
	takeovers      int
	reportsDropped int
}

// noteStore logs a failed call to the store; the control goroutine counts it.
func (c *Coordinator) noteStore(call string, err error) {
	if c.context.Err() != nil {
		return
	}
	c.loop.post(func(now time.Time) {
		if c.counters.storeFailures == nil {
			c.counters.storeFailures = make(map[string]int)
		}
		c.counters.storeFailures[call]++
		c.counters.storeFailedAt = now
	})
	c.options.Log.WithError(err).WithField("call", call).Warn("the store did not answer as it should")
}
