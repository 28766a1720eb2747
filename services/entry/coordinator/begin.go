// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// MarkRunning records that an endpoint has begun to answer a request.
func (c *Coordinator) MarkRunning(request *deployment.Request, assignment Assignment) {
	c.loop.Post(func(now time.Time) {
		c.pendingStarts.Remove(assignment.Recall)
		if !c.sameIncarnation(assignment) {
			return
		}
		c.directory.MarkRunning(now, assignment.Endpoint.ID, assignment.Assigned, request)
		c.compareVersion(now, request, assignment)
	})
}

// compareVersion compares the version on which a request runs with the versions that this instance knows by now. The
// choice of the endpoint relied on an expected waiting time, so the request may have begun too late on a former version.
func (c *Coordinator) compareVersion(now time.Time, request *deployment.Request, assignment Assignment) {
	if assignment.HeldVersion == 0 {
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
	}).Warn("a request began on a former version after the version limit")
}

// versionAtBegin returns the version on which a request that has begun is assumed to run. Responses name only the base
// model's version, so it is the version that the endpoint was required or assumed to hold, or a newer one that the
// endpoint received while the request waited.
func (c *Coordinator) versionAtBegin(request *deployment.Request, assignment Assignment) int64 {
	status := c.directory.Endpoint(assignment.Endpoint.ID)
	if assignment.Version > 0 || status == nil {
		return assignment.HeldVersion
	}
	return max(assignment.HeldVersion, status.Offered[request.Adapter])
}
