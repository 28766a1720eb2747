// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// markLeaving records that an endpoint announced in a response, to this instance or to a peer, that it leaves. The
// announcement is as final for this start of the endpoint as a notice in the store, and it may arrive before that notice.
func (c *Coordinator) markLeaving(now time.Time, status *directory.EndpointStatus, source string) {
	if !c.directory.MarkDraining(status.ID) {
		return
	}
	c.announcedLeaving[status.ID] = true
	c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "source": source}).
		Info("an endpoint says that it leaves")
	if c.planner != nil {
		c.planner.plans.SetEndpoint(now, status.Endpoint, status.Revision)
		c.plan(now)
		return
	}
	c.requestReport(now)
}

// leavingEndpoints returns the endpoints that announced that they leave and are not gone yet.
func (c *Coordinator) leavingEndpoints() []wire.Start {
	var starts []wire.Start
	for id := range c.announcedLeaving {
		status := c.directory.Endpoint(id)
		if status == nil {
			delete(c.announcedLeaving, id)
			continue
		}
		start := wire.Start{ID: id}
		if !status.Born.IsZero() {
			start.Born = status.Born.UnixMilli()
		}
		starts = append(starts, start)
	}
	return starts
}

// mergeLeaving applies the announcements of leaving endpoints that a peer received. A later start under the same name is
// not affected.
func (c *Coordinator) mergeLeaving(now time.Time, starts []wire.Start) {
	for _, start := range starts {
		status := c.directory.Endpoint(start.ID)
		if status == nil || (start.Born != 0 && status.IsOtherIncarnation(time.UnixMilli(start.Born))) {
			continue
		}
		c.markLeaving(now, status, "peer")
	}
}
