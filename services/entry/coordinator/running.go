// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Running notes that an endpoint runs a request: its answer has begun. The version of the adapter that runs is as the answer
// tells; 0 if it does not.
func (c *Coordinator) Running(request *deployment.Request, assignment Assignment, version int64) {
	c.loop.Post(func(now time.Time) {
		c.directory.Running(now, assignment.Endpoint.ID, assignment.Assigned, request)
		c.compareVersion(now, request, assignment, version)
	})
}

// compareVersion compares the version that runs with those that this instance knew by then: what was allowed when the endpoint
// was chosen went by an expectation.
func (c *Coordinator) compareVersion(now time.Time, request *deployment.Request, assignment Assignment, version int64) {
	if version == 0 {
		version = assignment.Held
	}
	if request.Adapter.IsZero() || version == 0 {
		return
	}
	newer, age := c.versions.Newer(now, request.Adapter, version)
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
