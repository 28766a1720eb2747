// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// maxTunnels is the number of instances that views name for tunnels. A higher number spreads the work of a hall that is cut off over more
// instances, a lower one makes views smaller.
const maxTunnels = 32

// SetCutOff records whether this instance reaches no endpoint over its own links.
func (c *Coordinator) SetCutOff(cutOff bool) {
	c.loop.Post(func(now time.Time) {
		c.cutOffSince = time.Time{}
		if cutOff {
			c.cutOffSince = now
		}
		c.requestReport(now)
	})
}

// isCutOff reports whether this instance reaches no endpoint over its own links.
func (c *Coordinator) isCutOff() bool {
	return !c.cutOffSince.IsZero()
}

// MayTunnelTo reports whether a peer may reach an endpoint through this instance: the endpoint has the address and takes requests, as far
// as is known here.
func (c *Coordinator) MayTunnelTo(id deployment.EndpointID, address netip.AddrPort) bool {
	allowed := false
	c.loop.Call(func(time.Time) {
		status := c.directory.Endpoint(id)
		allowed = status != nil && status.Address == address && status.State == deployment.Ready
	})
	return allowed
}

// updateTunnels updates the instances through which others reach endpoints.
func (p *planner) updateTunnels() {
	tunnels := p.members.Tunnels()
	c := p.coordinator
	if c.options.TunnelAddress.IsValid() && !c.isCutOff() && !c.leaving.Load() {
		tunnels = append(tunnels, wire.Tunnel{Hall: c.options.Hall, Address: c.options.TunnelAddress})
	}
	tunnels = selectTunnels(tunnels)
	if slices.Equal(tunnels, p.tunnels) {
		return
	}
	p.tunnels, p.tunnelsChanged = tunnels, true
	c.setTunnels(tunnels)
}

// selectTunnels returns at most maxTunnels instances, sorted, with as equal numbers from each hall as possible.
func selectTunnels(all []wire.Tunnel) []wire.Tunnel {
	slices.SortFunc(all, func(a, b wire.Tunnel) int {
		return cmp.Or(cmp.Compare(a.Hall, b.Hall), a.Address.Compare(b.Address))
	})
	positions := make(map[wire.Tunnel]int, len(all))
	perHall := make(map[string]int)
	for _, tunnel := range all {
		positions[tunnel] = perHall[tunnel.Hall]
		perHall[tunnel.Hall]++
	}
	slices.SortStableFunc(all, func(a, b wire.Tunnel) int { return positions[a] - positions[b] })
	return all[:min(len(all), maxTunnels)]
}

// addTunnels adds the instances that open tunnels to a view if they have changed or if all is true.
func (p *planner) addTunnels(v *wire.View, all bool) {
	if !all && !p.tunnelsChanged {
		return
	}
	p.tunnelsChanged = false
	v.Tunnels = &wire.TunnelList{Tunnels: p.tunnels}
}

// applyTunnels applies the instances that open tunnels according to the planner's view.
func (c *Coordinator) applyTunnels(v *wire.View) {
	if v.Tunnels != nil {
		c.setTunnels(v.Tunnels.Tunnels)
	}
}

// setTunnels passes on the instances that open tunnels if they have changed.
func (c *Coordinator) setTunnels(tunnels []wire.Tunnel) {
	if c.options.ObserveTunnels == nil || slices.Equal(tunnels, c.tunnels) {
		return
	}
	c.tunnels = slices.Clone(tunnels)
	c.options.ObserveTunnels(c.tunnels)
}
