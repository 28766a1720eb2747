// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// SetListed takes the platform's lagging list of instances and of leaving endpoints.
func (n *Node) SetListed(now time.Time, instances []fleet.Instance, leavingEndpoints []string) []Effect {
	var hall []fleet.Instance
	for _, i := range instances {
		if i.Hall == n.options.Self.Hall {
			hall = append(hall, i)
		}
	}
	n.list.SetInstances(now, instances, n.awaited())
	n.members.SetListed(now, hall)
	n.list.SetLeaving(now, leavingEndpoints)
	n.applyAllDrains(now)
	return n.take()
}

// awaited names the former owners whose end this node waits for.
func (n *Node) awaited() []string {
	var out []string
	for _, ps := range n.order {
		for _, f := range ps.former.Waiting() {
			out = append(out, f.ID)
		}
	}
	return out
}

// EndpointLeaving takes an endpoint's own report that it is leaving, ahead of the list.
func (n *Node) EndpointLeaving(now time.Time, endpoint string) []Effect {
	n.list.EndpointLeaving(now, endpoint)
	n.applyAllDrains(now)
	return n.take()
}

func (n *Node) applyAllDrains(now time.Time) {
	for _, ps := range n.order {
		if ps.mine {
			n.applyDrains(now, ps)
		}
	}
}

// applyDrains passes on what leaves by the platform's list or an operator's command.
func (n *Node) applyDrains(now time.Time, ps *poolState) {
	for _, e := range ps.pool.Endpoints {
		leaving := n.list.Leaving(e.Name) && !n.options.Defects.IgnoreLeaving
		n.run(now, ps, ps.placer.SetLeaving(now, e.Name, leaving))
		drained := n.config.Catalog().Drained[e.Name] || n.config.Catalog().Drained[ps.pool.Hall]
		n.run(now, ps, ps.placer.SetDrained(now, e.Name, drained))
	}
}
