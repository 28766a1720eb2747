// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// markDraining records that an endpoint announced in a response, to this instance or to a peer, that it is draining. The
// announcement is as final for the endpoint's incarnation as the state "draining" in its store entry, and it may arrive
// before that entry.
func (c *Coordinator) markDraining(now time.Time, status *directory.EndpointStatus, source string) {
	if !c.directory.MarkDraining(status.ID) {
		return
	}
	c.announcedDraining[status.ID] = true
	c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "source": source}).
		Info("an endpoint announced that it is draining: it gets no new requests")
	if c.planner != nil {
		c.planner.plans.SetEndpoint(now, status.Endpoint, status.Revision)
		c.plan(now)
		return
	}
	c.requestReport(now)
}

// drainingEndpoints returns the endpoints that announced that they are draining and are not gone yet.
func (c *Coordinator) drainingEndpoints() []wire.Start {
	var starts []wire.Start
	for id := range c.announcedDraining {
		status := c.directory.Endpoint(id)
		if status == nil {
			delete(c.announcedDraining, id)
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

// mergeDraining applies the announcements of draining endpoints that a peer received. A later incarnation with the same
// ID is not affected.
func (c *Coordinator) mergeDraining(now time.Time, starts []wire.Start) {
	for _, start := range starts {
		status := c.directory.Endpoint(start.ID)
		if status == nil || (start.Born != 0 && status.IsOtherIncarnation(time.UnixMilli(start.Born))) {
			continue
		}
		c.markDraining(now, status, "peer")
	}
}
