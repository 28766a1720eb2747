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

// updateUnreachable updates the set of endpoints that refuse the connections of several instances. The store lists a
// crashed endpoint until it has missed its heartbeats, for about 3 s. Until then each instance would have to find out at
// the cost of a request of its own.
func (p *planner) updateUnreachable(now time.Time) {
	var own []deployment.EndpointID
	for id, status := range p.coordinator.directory.Endpoints() {
		if status.Health.Unreachable(now) {
			own = append(own, id)
		}
	}
	unreachable := p.members.Unreachable(now, own)
	if maps.Equal(unreachable, p.unreachable) {
		return
	}
	p.unreachable, p.unreachableChanged = unreachable, true
	p.coordinator.setUnreachable(unreachable)
}

// addUnreachable adds the unreachable endpoints to a view if they have changed or if all is true.
func (p *planner) addUnreachable(v *wire.View, all bool) {
	if !all && !p.unreachableChanged {
		return
	}
	p.unreachableChanged = false
	v.Unreachable = &wire.EndpointList{IDs: slices.Collect(maps.Keys(p.unreachable))}
}

// applyUnreachable applies the unreachable endpoints of the planner's view.
func (c *Coordinator) applyUnreachable(v *wire.View) {
	if v.Unreachable == nil {
		return
	}
	unreachable := make(map[deployment.EndpointID]bool, len(v.Unreachable.IDs))
	for _, id := range v.Unreachable.IDs {
		unreachable[id] = true
	}
	c.setUnreachable(unreachable)
}

// setUnreachable sets which endpoints count as unreachable.
func (c *Coordinator) setUnreachable(unreachable map[deployment.EndpointID]bool) {
	for id, status := range c.directory.Endpoints() {
		status.Unreachable = unreachable[id]
	}
}
