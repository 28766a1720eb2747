// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// trackPendingStart tracks a request that is assigned to an endpoint with a version of its adapter until the request is known
// to run. A request that was sent cannot be controlled otherwise: a newer version may be named while it waits in the
// endpoint's own queue, and that queue may grow. It returns nil for routes whose answers are sent as a whole. Their begin
// is not visible before their end, so nothing shows whether they may still be recalled.
func (c *Coordinator) trackPendingStart(request *deployment.Request, endpoint deployment.EndpointID, held int64) *recall.Recall {
	if request.Adapter.IsZero() || !request.StartIsVisible() {
		return nil
	}
	requestRecall := &recall.Recall{Endpoint: endpoint, Adapter: request.Adapter}
	c.pendingStarts.Add(requestRecall, request.Adapter, held, c.beginDeadline(request.Adapter, held))
	return requestRecall
}

// beginDeadline returns the time by which a request must have begun on a version of its adapter. It is long past if the
// age of the newer version is not known. It is zero if no newer version is named or if older versions have no time limit.
func (c *Coordinator) beginDeadline(adapter deployment.Adapter, held int64) time.Time {
	since, newerNamed := c.versions.NewerSince(adapter, held)
	if !newerNamed || c.options.VersionLimit == 0 {
		return time.Time{}
	}
	return recall.BeginBy(since, c.options.VersionLimit)
}

// recallOverdue recalls the requests that have not begun in time, and informs the planner, because some endpoints begin a request
// whose exchange has ended all the same unless they get an order for its adapter.
func (c *Coordinator) recallOverdue(now time.Time) {
	before := len(c.recalled)
	for _, requestRecall := range c.pendingStarts.TakeLate(now) {
		c.addRecalled(requestRecall)
		if requestRecall.Fire() && c.options.ObserveRecall != nil {
			c.options.ObserveRecall()
		}
	}
	if len(c.recalled) > before {
		c.requestReport(now)
	}
}

// addRecalled adds the copy on which a request had to begin to the next report.
func (c *Coordinator) addRecalled(requestRecall *recall.Recall) {
	copied := wire.Copy{ID: requestRecall.Endpoint, Model: requestRecall.Adapter.Model, Name: requestRecall.Adapter.Name}
	if !slices.Contains(c.recalled, copied) {
		c.recalled = append(c.recalled, copied)
	}
}
