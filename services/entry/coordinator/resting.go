// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// noteRest takes in that an endpoint turned a request of this instance away, and wants nothing from it for a while.
func (c *Coordinator) noteRest(now time.Time, status *directory.EndpointStatus, rest time.Duration) {
	rested := status.IsResting(now)
	status.RecordRest(now.Add(rest))
	if rested {
		return
	}
	c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "rest_ms": rest.Milliseconds()}).
		Info("an endpoint wants to rest")
	// The planner brings what it holds elsewhere where several instances are asked for rest.
	c.reportSoon(now)
}

// restEnds gives when the first of the endpoints that could run a request has rested; zero where none rests.
func (c *Coordinator) restEnds(now time.Time, w *waiter) time.Time {
	var earliest time.Time
	for _, status := range c.directory.Service(w.Service) {
		if status.IsResting(now) && c.couldRun(now, status, w) && (earliest.IsZero() || status.RestEnds().Before(earliest)) {
			earliest = status.RestEnds()
		}
	}
	return earliest
}
