// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// noteLeaving takes in that an endpoint said in an answer that it leaves, to this instance or to a peer. It is as final for this start of
// the endpoint as a notice in the store, and the store may take that later.
func (c *Coordinator) noteLeaving(now time.Time, status *directory.EndpointStatus, source string) {
	if !c.directory.MarkDraining(status.ID) {
		return
	}
	c.saidLeaving[status.ID] = true
	c.options.Log.WithFields(logrus.Fields{fieldEndpoint: status.ID, fieldService: status.Service, "source": source}).
		Info("an endpoint says that it leaves")
	if c.planning != nil {
		c.planning.plans.SetEndpoint(now, status.Endpoint, status.Revision)
		c.plan(now)
		return
	}
	c.reportSoon(now)
}

// leavingToReport gives the endpoints that said that they leave, until they are gone.
func (c *Coordinator) leavingToReport() []wire.Start {
	var starts []wire.Start
	for id := range c.saidLeaving {
		status := c.directory.Endpoint(id)
		if status == nil {
			delete(c.saidLeaving, id)
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

// takeLeaving takes in which endpoints said to a peer that they leave. Another start under the same name did not say so.
func (c *Coordinator) takeLeaving(now time.Time, starts []wire.Start) {
	for _, start := range starts {
		status := c.directory.Endpoint(start.ID)
		if status == nil || (start.Born != 0 && status.IsOtherIncarnation(time.UnixMilli(start.Born))) {
			continue
		}
		c.noteLeaving(now, status, "peer")
	}
}
