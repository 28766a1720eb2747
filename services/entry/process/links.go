// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/clock"
	"github.com/shelfledge/shelfledge/modules/entry/tcp"
	"github.com/shelfledge/shelfledge/modules/entry/tunnel"
	"github.com/shelfledge/shelfledge/services/entry/connect"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	// linkUnacknowledgedTimeout is how long bytes sent to an endpoint may stay unacknowledged: a link that loses packets needs some
	// retransmissions, a broken link never answers. A higher value tolerates a lossy link, a lower one detects a broken link sooner.
	linkUnacknowledgedTimeout = 1200 * time.Millisecond
	// linkSilenceLimit is how long all endpoints may be silent, while requests wait for answers, until the links to them are checked. A
	// higher value makes fewer checks where endpoints are slow, a lower one detects links sooner that have failed without a sign.
	linkSilenceLimit = 300 * time.Millisecond
	// linkCheckInterval is how often the links are looked at. A higher value costs less, a lower one detects silence sooner.
	linkCheckInterval = 100 * time.Millisecond
)

// newConnector returns the connector to endpoints.
func newConnector(options Options, clock *clock.Clock, log *logrus.Entry) *connect.Connector {
	dialer := tcp.Dialer{UserTimeout: linkUnacknowledgedTimeout}
	return connect.New(connect.Options{
		Hall: options.Coordinator.Hall, Self: options.Tunnels, DialEndpoint: options.dialEndpoint(),
		DialPeer: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address.String())
		},
		Probe: options.ProbeEndpoint, Now: clock.Now, Log: log,
	})
}

// dialEndpoint returns the function that opens a connection to an endpoint over an own link.
func (o *Options) dialEndpoint() func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if o.DialEndpoint != nil {
		return o.DialEndpoint
	}
	dialer := tcp.Dialer{UserTimeout: linkUnacknowledgedTimeout}
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address.String())
	}
}

// newTunnelAcceptor returns the acceptor of tunnels from other instances.
func newTunnelAcceptor(options Options, control *coordinator.Coordinator, links *connect.Connector, log *logrus.Entry) *tunnel.Acceptor {
	return tunnel.NewAcceptor(tunnel.Options{
		Allowed: func(target tunnel.Target) bool {
			return control.MayTunnelTo(deployment.EndpointID(target.Endpoint), target.Address)
		},
		Dial: options.dialEndpoint(), CutOff: links.CutOff, Log: log,
	})
}

// peersOf returns the instances that open tunnels as peers of a connector.
func peersOf(tunnels []wire.Tunnel) []connect.Peer {
	peers := make([]connect.Peer, 0, len(tunnels))
	for _, opened := range tunnels {
		peers = append(peers, connect.Peer{Hall: opened.Hall, Address: opened.Address})
	}
	return peers
}

// startTunnels starts to open tunnels if there is an address for them.
func (p *Process) startTunnels() error {
	if !p.options.Tunnels.IsValid() {
		return nil
	}
	listener, err := net.Listen("tcp4", p.options.Tunnels.String())
	if err != nil {
		return err
	}
	go p.tunnels.Serve(listener)
	return nil
}

// checkLinks checks the links to endpoints that have all fallen silent, until the process stops.
func (p *Process) checkLinks() {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := p.clock.Now()
			if silent := p.client.Silent(now, linkSilenceLimit); len(silent) > 0 {
				p.links.CheckSilent(now, silent)
			}
		case <-p.stopping:
			return
		}
	}
}
