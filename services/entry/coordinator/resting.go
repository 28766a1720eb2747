// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// recordRest records that an endpoint refused a request of this instance and asked it for a rest.
func (c *Coordinator) recordRest(now time.Time, status *directory.EndpointStatus, rest time.Duration) {
	alreadyRests := status.IsResting(now)
	status.RecordRest(now.Add(rest))
	if alreadyRests {
		return
	}
	c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "rest_ms": rest.Milliseconds()}).
		Info("an endpoint asked for a rest: this instance sends it no requests until the rest ends")
	// If several instances are asked for a rest, the planner loads the endpoint's adapters elsewhere.
	c.requestReport(now)
}

// earliestRestEnd returns when the first rest ends of the endpoints that could run a request. It is zero if none of them
// rests.
func (c *Coordinator) earliestRestEnd(now time.Time, w *waiter) time.Time {
	var earliest time.Time
	for _, status := range c.directory.Service(w.Service) {
		if status.IsResting(now) && c.couldRun(now, status, w) && (earliest.IsZero() || status.RestEnds().Before(earliest)) {
			earliest = status.RestEnds()
		}
	}
	return earliest
}
