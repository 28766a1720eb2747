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

// promptBegin is how long a request that finds a free place may take to begin. A higher value tolerates slow links, a lower one takes back sooner
// what an endpoint keeps in its queue.
const promptBegin = 300 * time.Millisecond

// trackPendingStart tracks a request that is assigned to an endpoint with a version of its adapter until the request is known
// to run. A request that was sent cannot be controlled otherwise: a newer version may be named while it waits in the
// endpoint's own queue, and that queue may grow. It returns nil for routes whose answers are sent as a whole. Their begin
// is not visible before their end, so nothing shows whether they may still be recalled.
func (c *Coordinator) trackPendingStart(now time.Time, request *deployment.Request, endpoint deployment.EndpointID, held int64) *recall.Recall {
	if request.Adapter.IsZero() || !request.StartIsVisible() {
		return nil
	}
	requestRecall := &recall.Recall{Endpoint: endpoint, Adapter: request.Adapter}
	c.pendingStarts.Add(requestRecall, request.Adapter, held, c.beginDeadline(now, request.Adapter, held))
	return requestRecall
}

// beginDeadline returns the time by which a request that is assigned now must have begun on a version of its adapter. It is long past if the
// age of the newer version is not known. It is zero if no newer version is named or if older versions have no time limit.
func (c *Coordinator) beginDeadline(now time.Time, adapter deployment.Adapter, held int64) time.Time {
	since, newerNamed := c.versions.NewerSince(adapter, held)
	if !newerNamed || c.options.VersionLimit == 0 {
		return time.Time{}
	}
	deadline := recall.BeginBy(since, c.options.VersionLimit)
	if c.options.QueueLimit == 0 {
		return deadline
	}
	queued := latest(since.Add(c.options.QueueLimit), now.Add(promptBegin))
	return earliest(deadline, queued)
}

// formerVersion returns the oldest version that may serve a request which is assigned now, and for how long the request may wait for it.
func (c *Coordinator) formerVersion(now time.Time, adapter deployment.Adapter) (oldest int64, wait time.Duration) {
	oldest, wait = c.versions.FormerVersion(now, adapter, c.options.VersionLimit)
	return oldest, c.boundQueueWait(now, adapter, oldest, wait)
}

// boundQueueWait bounds the time for which a request may wait for a version at an endpoint.
func (c *Coordinator) boundQueueWait(now time.Time, adapter deployment.Adapter, version int64, wait time.Duration) time.Duration {
	if wait <= 0 || c.options.QueueLimit == 0 {
		return wait
	}
	since, newerNamed := c.versions.NewerSince(adapter, version)
	if !newerNamed {
		return wait
	}
	return min(wait, max(c.options.QueueLimit-now.Sub(since), promptBegin))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recallOverdue recalls the requests that have not begun in time, and informs the planner, because some endpoints begin a request
// whose exchange has ended all the same unless they get an order for its adapter.
func (c *Coordinator) recallOverdue(now time.Time) {
	c.dropOldRecalled(now)
	before := len(c.recalled)
	for _, requestRecall := range c.pendingStarts.TakeLate(now) {
		c.addRecalled(now, requestRecall)
		if requestRecall.Fire() && c.options.ObserveRecall != nil {
			c.options.ObserveRecall()
		}
	}
	if len(c.recalled) > before {
		c.requestReport(now)
	}
}

// recalledCopy is a copy on which requests have not begun in time.
type recalledCopy struct {
	copied wire.Copy
	// at is when a request was recalled last.
	at time.Time
}

// addRecalled adds the copy on which a request had to begin to the reports. It stays there for as long as the request may still begin too late,
// since the planner may end before it has ordered, and its successor knows only what it is told.
func (c *Coordinator) addRecalled(now time.Time, requestRecall *recall.Recall) {
	copied := wire.Copy{ID: requestRecall.Endpoint, Model: requestRecall.Adapter.Model, Name: requestRecall.Adapter.Name}
	for i := range c.recalled {
		if c.recalled[i].copied == copied {
			c.recalled[i].at = now
			return
		}
	}
	c.recalled = append(c.recalled, recalledCopy{copied: copied, at: now})
}

// dropOldRecalled drops the copies that need not be reported any more.
func (c *Coordinator) dropOldRecalled(now time.Time) {
	c.recalled = slices.DeleteFunc(c.recalled, func(r recalledCopy) bool { return now.Sub(r.at) >= c.options.VersionLimit })
}

// recalledCopies returns the copies for a report.
func (c *Coordinator) recalledCopies() []wire.Copy {
	var copies []wire.Copy
	for _, r := range c.recalled {
		copies = append(copies, r.copied)
	}
	return copies
}
