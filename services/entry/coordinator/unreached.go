// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// reviewUnreached takes in which endpoints refuse the instances' connections. An endpoint that crashed is named by the store until it has missed
// its heartbeats, some 3 s; until then each instance would find out for itself, at the cost of a request of its own.
func (p *planning) reviewUnreached(now time.Time) {
	var own []deployment.EndpointID
	for id, status := range p.coordinator.directory.Endpoints() {
		if status.Health.Unreached(now) {
			own = append(own, id)
		}
	}
	unreached := p.members.Unreached(now, own)
	if maps.Equal(unreached, p.unreached) {
		return
	}
	p.unreached, p.unreachedChanged = unreached, true
	p.coordinator.setUnreached(unreached)
}

// tellUnreached adds the endpoints that refuse connections to a view, where they have changed or the view tells all.
func (p *planning) tellUnreached(v *wire.View, all bool) {
	if !all && !p.unreachedChanged {
		return
	}
	p.unreachedChanged = false
	v.Unreached = &wire.EndpointList{IDs: slices.Collect(maps.Keys(p.unreached))}
}

// applyUnreached takes in which endpoints refuse the instances' connections, by the planner's view.
func (c *Coordinator) applyUnreached(v *wire.View) {
	if v.Unreached == nil {
		return
	}
	unreached := make(map[deployment.EndpointID]bool, len(v.Unreached.IDs))
	for _, id := range v.Unreached.IDs {
		unreached[id] = true
	}
	c.setUnreached(unreached)
}

// setUnreached notes which endpoints refuse the instances' connections.
func (c *Coordinator) setUnreached(unreached map[deployment.EndpointID]bool) {
	for id, status := range c.directory.Endpoints() {
		status.Unreached = unreached[id]
	}
}
