// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package connect

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/reach"
)

// Peer is another instance through which endpoints can be reached.
type Peer struct {
	Hall string
	// Address is where the instance opens tunnels.
	Address netip.AddrPort
}

// Options configure a Connector.
type Options struct {
	// Hall is the hall of this instance.
	Hall string
	// Self is the address where this instance opens tunnels for others, which is not a peer of its own.
	Self netip.AddrPort
	// DialEndpoint opens a connection over an own link, DialPeer one to another instance.
	DialEndpoint func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	DialPeer     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Probe        Probe
	Now          func() time.Time
	Log          *logrus.Entry
}

// Connector opens connections to endpoints. It is safe for concurrent use.
type Connector struct {
	options Options
	// cutOffChanged is called when this instance begins or ceases to count as cut off from all endpoints.
	cutOffChanged func(cutOff bool)
	// notifying is held while cutOffChanged is called, so that its last call tells the last state.
	notifying sync.Mutex
	// context ends when the connector is stopped.
	context context.Context
	stop    context.CancelFunc

	mutex sync.Mutex
	links *reach.Links
	peers peerList
	// addresses are those of the endpoints to which a connection was sought, for the checks of own links.
	addresses map[deployment.EndpointID]netip.AddrPort
	// linkCheckedAt is when the own link to an endpoint was last checked because it had failed.
	linkCheckedAt map[deployment.EndpointID]time.Time
	// checkedAt is when links that were silent were last checked, checkPause the pause until the next check.
	checkedAt  time.Time
	checkPause time.Duration
}

// New returns a connector without peers.
func New(options Options) *Connector {
	ctx, cancel := context.WithCancel(context.Background())
	return &Connector{
		options: options, context: ctx, stop: cancel, links: reach.NewLinks(), peers: newPeerList(options.Hall, options.Self),
		addresses: make(map[deployment.EndpointID]netip.AddrPort), linkCheckedAt: make(map[deployment.EndpointID]time.Time),
		cutOffChanged: func(bool) {},
	}
}

// OnCutOff sets the function that is called when this instance begins or ceases to count as cut off from all endpoints. It must be called
// before the first connection.
func (c *Connector) OnCutOff(changed func(cutOff bool)) {
	c.cutOffChanged = changed
}

// Stop ends the goroutine of the connector. Connections that were opened stay open.
func (c *Connector) Stop() {
	c.stop()
}

// SetPeers sets the instances through which endpoints can be reached.
func (c *Connector) SetPeers(peers []Peer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers.set(peers)
}

// Paths returns the functions by which a client of package upstream uses the connector.
func (c *Connector) Paths() upstream.Paths {
	return upstream.Paths{
		Connect: c.Connect, Reusable: c.reusable, Answered: c.recordConnected, Failed: c.recordFailed,
	}
}

// CutOff reports whether this instance counts as cut off from all endpoints.
func (c *Connector) CutOff() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.links.CutOff()
}

// LinkBroken reports whether this instance's own link to an endpoint has failed, so that a failed exchange shows nothing about the
// endpoint.
func (c *Connector) LinkBroken(id deployment.EndpointID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.links.IsBroken(id)
}

// Forget removes an endpoint that is gone.
func (c *Connector) Forget(id deployment.EndpointID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.links.Forget(id)
	delete(c.addresses, id)
	delete(c.linkCheckedAt, id)
}

// remember records the address of an endpoint.
func (c *Connector) remember(target upstream.Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addresses[deployment.EndpointID(target.Key)] = target.Address
}

// reusable reports whether an idle connection may be used again. A connection over a link that has failed since may be dead without a
// sign; one through another instance is given up for a link that works.
func (c *Connector) reusable(key string, peer netip.AddrPort) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	broken := c.links.IsBroken(deployment.EndpointID(key))
	if peer.IsValid() {
		return broken && c.peers.usable(c.options.Now(), peer)
	}
	return !broken
}

// recordConnected records that an endpoint has answered over an own link.
func (c *Connector) recordConnected(target upstream.Target) {
	c.update(func(now time.Time) { c.links.RecordConnected(now, deployment.EndpointID(target.Key)) })
}

// recordFailed records that a new connection over the own link to an endpoint failed before any answer, and checks the link.
func (c *Connector) recordFailed(target upstream.Target) {
	id := deployment.EndpointID(target.Key)
	due := false
	c.update(func(now time.Time) {
		c.links.RecordFailed(now, id)
		due = !c.links.CutOff() && !c.peers.empty() && now.Sub(c.linkCheckedAt[id]) >= minCheckPause
		if due {
			c.linkCheckedAt[id] = now
		}
	})
	if due {
		go c.check(target)
	}
}

// recordBypassed records that an endpoint was reached through another instance after the own link had failed, and checks the links to other
// endpoints: if they have failed as well, this instance is cut off.
func (c *Connector) recordBypassed(target upstream.Target) {
	var others []upstream.Target
	c.update(func(now time.Time) {
		c.links.RecordBypassed(now, deployment.EndpointID(target.Key))
		if !c.links.CutOff() {
			others = c.othersToCheck(now)
		}
	})
	for _, other := range others {
		go c.check(other)
	}
}

// update changes the state of the links, and acts on the beginning and the end of a cut-off.
func (c *Connector) update(change func(now time.Time)) {
	c.mutex.Lock()
	before := c.links.CutOff()
	change(c.options.Now())
	after := c.links.CutOff()
	c.mutex.Unlock()
	if before == after {
		return
	}
	if after {
		c.options.Log.Warn("cut off from all endpoints: they are reached through other instances")
		go c.tryOwnLinks()
	} else {
		c.options.Log.Info("no longer cut off from all endpoints")
	}
	c.notifying.Lock()
	defer c.notifying.Unlock()
	c.cutOffChanged(c.CutOff())
}
