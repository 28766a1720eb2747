// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Running notes that an endpoint runs a request: its answer has begun.
func (c *Coordinator) Running(request *deployment.Request, assignment Assignment) {
	c.loop.Post(func(now time.Time) {
		c.unbegun.Remove(assignment.Recall)
		if !c.stillKnown(assignment) {
			return
		}
		c.directory.Running(now, assignment.Endpoint.ID, assignment.Assigned, request)
		c.compareVersion(now, request, assignment)
	})
}

// compareVersion compares the version that runs with those that this instance knew by then: what was allowed when the endpoint
// was chosen went by an expectation.
func (c *Coordinator) compareVersion(now time.Time, request *deployment.Request, assignment Assignment) {
	if assignment.Held == 0 {
		return
	}
	version := c.versionAtBegin(request, assignment)
	newer, age := c.versions.FirstNewer(now, request.Adapter, version)
	if newer == 0 {
		return
	}
	limit := c.options.VersionLimit
	if c.options.ObserveFormerVersion != nil {
		c.options.ObserveFormerVersion(age, age > limit)
	}
	if age <= limit {
		return
	}
	c.options.Log.WithFields(logrus.Fields{
		"request": request.ID, "endpoint": assignment.Endpoint.ID, "adapter": request.Adapter.String(), "version": version,
		"newer": newer, "age_ms": age.Milliseconds(), "limit_ms": limit.Milliseconds(),
	}).Warn("a request began on an older version after its time")
}

// versionAtBegin is the version on which a request is taken to run whose answer has begun, since answers tell only the base model's:
// the one that its endpoint had to hold or was taken to hold, or a newer one that came there while the request waited.
func (c *Coordinator) versionAtBegin(request *deployment.Request, assignment Assignment) int64 {
	status := c.directory.Endpoint(assignment.Endpoint.ID)
	if assignment.Version > 0 || status == nil {
		return assignment.Held
	}
	return max(assignment.Held, status.Offered[request.Adapter])
}
