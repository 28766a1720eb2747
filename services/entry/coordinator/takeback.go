// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
)

// trackBegin watches over a request that is assigned to an endpoint with a version of its adapter until it is known to run. What is
// sent is out of hand otherwise: a newer version may be named while it waits in the endpoint's own queue, and that queue may grow.
// It is nil for routes whose answers come whole: their begin does not show before their end, so that nothing tells whether they may
// still be taken back.
func (c *Coordinator) trackBegin(request *deployment.Request, held int64) *unbegun.Recall {
	if request.Adapter.IsZero() || !request.StartIsVisible() {
		return nil
	}
	recall := &unbegun.Recall{}
	c.unbegun.Add(recall, request.Adapter, held, c.beginBy(request.Adapter, held))
	return recall
}

// beginBy is when a request must have begun on a version of its adapter, long ago where the age of the newer one is not known; the zero
// time where no newer one is named, or older ones have no limit.
func (c *Coordinator) beginBy(adapter deployment.Adapter, held int64) time.Time {
	since, named := c.versions.NewerSince(adapter, held)
	if !named || c.options.VersionLimit == 0 {
		return time.Time{}
	}
	return unbegun.BeginBy(since, c.options.VersionLimit)
}

// takeBackLate takes back the requests that have not begun in time.
func (c *Coordinator) takeBackLate(now time.Time) {
	for _, recall := range c.unbegun.TakeLate(now) {
		if recall.Fire() && c.options.ObserveTakenBack != nil {
			c.options.ObserveTakenBack()
		}
	}
}
