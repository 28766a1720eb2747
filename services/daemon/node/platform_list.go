// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// SetListed processes the platform's list of instances and of leaving endpoints. The list may lag.
func (n *Node) SetListed(now time.Time, instances []fleet.Instance, leavingEndpoints []string) []Effect {
	var hall []fleet.Instance
	for _, i := range instances {
		if i.Hall == n.options.Self.Hall {
			hall = append(hall, i)
		}
	}
	n.platformList.SetInstances(now, instances, n.awaitedFormerOwners())
	n.members.SetListed(now, hall)
	n.platformList.SetLeaving(now, leavingEndpoints)
	n.applyAllDrains(now)
	return n.takeEffects()
}

// awaitedFormerOwners returns the identifiers of the former owners whose end this node waits for.
func (n *Node) awaitedFormerOwners() []string {
	var out []string
	for _, ps := range n.poolList {
		for _, f := range ps.succession.Waiting() {
			out = append(out, f.ID)
		}
	}
	return out
}

// EndpointLeaving processes an endpoint's own report that it is leaving, which may precede the platform's list.
func (n *Node) EndpointLeaving(now time.Time, endpoint string) []Effect {
	n.platformList.EndpointLeaving(now, endpoint)
	n.applyAllDrains(now)
	return n.takeEffects()
}

func (n *Node) applyAllDrains(now time.Time) {
	for _, ps := range n.poolList {
		if ps.isPlacer {
			n.applyDrains(now, ps)
		}
	}
}

// applyDrains passes to the placer which endpoints leave by the platform's list and which ones an operator drains.
func (n *Node) applyDrains(now time.Time, ps *poolState) {
	for _, e := range ps.pool.Endpoints {
		leaving := n.platformList.Leaving(e.Name) && !n.options.Defects.IgnoreLeaving
		n.applyPlacerEffects(now, ps, ps.placer.SetLeaving(now, e.Name, leaving))
		drained := n.config.Catalog().Drained[e.Name] || n.config.Catalog().Drained[ps.pool.Hall]
		n.applyPlacerEffects(now, ps, ps.placer.SetDrained(now, e.Name, drained))
	}
}
