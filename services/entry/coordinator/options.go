// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
	"github.com/shelfledge/shelfledge/services/entry/loading"
	"github.com/shelfledge/shelfledge/services/entry/retry"
)

// Options are the settings of a Coordinator.
type Options struct {
	// Instance is the name of this process, and Hall the part of the site in which it runs.
	Instance string
	Hall     string
	// PeerAddress is the address on which this process listens for its peers.
	PeerAddress netip.AddrPort
	// TunnelAddress is the address at which this process opens tunnels to endpoints for its peers; not valid if it opens none.
	TunnelAddress netip.AddrPort
	// Seeds are the peers that are asked for the configuration when the store does not answer.
	Seeds []netip.AddrPort
	// Retry sets the retry budget.
	Retry retry.Options
	// Lease sets the time limits of the planner's lease, which bounds who may send orders.
	Lease lease.Options
	// LoadWindow, LoadTolerance and LoadSlack bound the rate of loads from the weight store.
	LoadWindow    time.Duration
	LoadTolerance float64
	LoadSlack     float64
	// TakeoverDelay is the additional time for which this instance waits before it takes the planner's lease. An instance
	// with a slow link or processor takes the lease only if no other instance does.
	TakeoverDelay time.Duration
	// LinkRate is the capacity of this instance's network link in bytes per second; 0 if it is not known.
	LinkRate int
	// VersionLimit is the time for which a request may still begin on a version older than the named one. If it is 0, no
	// request may be sent to an older version, and requests that were sent before are not recalled.
	VersionLimit time.Duration
	// QueueLimit is the time after the naming of a newer version for which a request may wait at an endpoint for an older one. It is shorter than
	// VersionLimit by the time that a successor of the planner takes, whose order keeps late requests from beginning. If it is 0, VersionLimit
	// applies.
	QueueLimit time.Duration
	// StoreTimeout bounds one call to the store, except for long-polling watches.
	StoreTimeout time.Duration
	// Now returns the present time, including the time for which the host was suspended. TimerNow returns the time of the
	// runtime's timers; if it is nil, Now is used.
	Now, TimerNow func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64
	Log    *logrus.Entry
	// The Observe functions update metrics; a nil function is not called.
	ObserveOrder        func(kind, reply string)
	ObserveStoreFailure func(call string)
	// ObserveRelay receives the number of bytes of operator keys that were sent to one peer.
	ObserveRelay func(bytes int)
	// ObserveLinkClosed is called for each peer link that is closed because its send queue is full.
	ObserveLinkClosed func()
	// ObserveFormerVersion is called for each request that begins on a former version. It receives the time since the
	// first newer version was named, and whether this time exceeds VersionLimit.
	ObserveFormerVersion func(age time.Duration, overdue bool)
	// ObserveControlWait is called for each function that the control goroutine runs, with the time for which the function was queued.
	ObserveControlWait func(time.Duration)
	// ObserveRecall is called for each request that is recalled from its endpoint because it has not begun in time.
	ObserveRecall func()
	// ObserveTunnels receives the instances through which endpoints can be reached, when they have changed.
	ObserveTunnels func(tunnels []wire.Tunnel)
	// ObserveSoftware receives which softwares the endpoints of each service run, when that has changed; an empty software is not known.
	// InterruptSoftware is called when changes may be missed until the next call of ObserveSoftware.
	ObserveSoftware   func(now time.Time, software map[string][]string)
	InterruptSoftware func()
	// ObserveConfiguration receives each configuration that is put in force.
	ObserveConfiguration func(now time.Time, configuration *deployment.Configuration)
}

// Environment holds the external calls of a Coordinator as function fields.
type Environment struct {
	Store store.Client
	// ConfigurationPrefix and EndpointPrefix are the key prefixes under which the store keeps what operators and endpoints
	// write.
	ConfigurationPrefix string
	EndpointPrefix      string
	// VersionPrefix is the prefix of those keys of operators that name versions; empty if they have none of their own.
	VersionPrefix string
	// ConfigurationKey is the key of the whole configuration.
	ConfigurationKey string
	// ParseConfiguration parses the value of ConfigurationKey.
	ParseConfiguration func(value []byte) (*deployment.Configuration, error)
	// ParseVersion parses the named version of an adapter; it returns false if the key names no version.
	ParseVersion func(item store.Item) (deployment.Adapter, int64, bool)
	// ParseEndpoint parses an endpoint's description.
	ParseEndpoint func(item store.Item) (deployment.Endpoint, error)
	// EndpointOf returns the endpoint that a key describes.
	EndpointOf func(key string) deployment.EndpointID
	// SendOrder sends one order under a term and returns its result.
	SendOrder func(ctx context.Context, order loading.Order, holder string, term int64) loading.Result
	// Dial and Listen connect this process with its peers.
	Dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Listen func(address netip.AddrPort) (net.Listener, error)
	// Retire is called when an endpoint is gone, so that its connections can be closed.
	Retire func(id deployment.EndpointID)
}
