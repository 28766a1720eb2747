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
	"github.com/shelfledge/shelfledge/services/entry/lease"
	"github.com/shelfledge/shelfledge/services/entry/loading"
	"github.com/shelfledge/shelfledge/services/entry/retry"
)

// Options are the settings of a Coordinator.
type Options struct {
	// Instance names this process, Hall the part of the site that it stands in.
	Instance string
	Hall     string
	// PeerAddress is where this process listens for its peers.
	PeerAddress netip.AddrPort
	// Seeds are peers that may know the configuration when the store does not answer.
	Seeds []netip.AddrPort
	// Retry is the budget of retries.
	Retry retry.Options
	// Lease bounds who may order.
	Lease lease.Options
	// LoadWindow, LoadTolerance and LoadSlack bound loads from the weight store.
	LoadWindow    time.Duration
	LoadTolerance float64
	LoadSlack     float64
	// Reluctance is how much longer than others this instance leaves the planner's work to them;
	// an instance with a weak link or processor takes it only if nobody else does.
	Reluctance time.Duration
	// LinkRate is how many bytes a second the own link carries; 0 if it is not known.
	LinkRate int
	// VersionLimit is how long a request may still begin on an older version than named. With 0, none may be sent to one, and what
	// was sent before is not taken back.
	VersionLimit time.Duration
	// StoreTimeout bounds one call to the store, apart from waiting watches.
	StoreTimeout time.Duration
	// Now gives the present time, also across suspensions of the host; TimerNow that of the runtime's timers, nil the same.
	Now, TimerNow func() time.Time
	// Random gives a number from 0 up to 1.
	Random func() float64
	Log    *logrus.Entry
	// ObserveOrder, ObserveStoreFailure, ObserveRelay, ObserveLinkClosed, ObserveFormerVersion and ObserveTakenBack count for the
	// metrics; nil ignores.
	ObserveOrder        func(kind, reply string)
	ObserveStoreFailure func(call string)
	// ObserveRelay is given the bytes of the operators' keys that were sent to one peer.
	ObserveRelay func(bytes int)
	// ObserveLinkClosed is called for each peer's link that is closed since too much waits for the peer.
	ObserveLinkClosed func()
	// ObserveFormerVersion is given, for each request that begins on a former version, for how long the first newer one has
	// counted, and whether that is longer than VersionLimit.
	ObserveFormerVersion func(age time.Duration, overdue bool)
	// ObserveTakenBack is called for each request that is taken back from its endpoint since it has not begun in time.
	ObserveTakenBack func()
}

// Environment is the outside calls of a Coordinator, as function fields.
type Environment struct {
	Store store.Client
	// ConfigurationPrefix and EndpointPrefix are where the store keeps what operators and
	// endpoints write.
	ConfigurationPrefix string
	EndpointPrefix      string
	// ConfigurationKey holds the whole configuration.
	ConfigurationKey string
	// ParseConfiguration reads the value of ConfigurationKey.
	ParseConfiguration func(value []byte) (*deployment.Configuration, error)
	// ParseVersion reads a named version of an adapter; false if the key names none.
	ParseVersion func(item store.Item) (deployment.Adapter, int64, bool)
	// ParseEndpoint reads an endpoint's description.
	ParseEndpoint func(item store.Item) (deployment.Endpoint, error)
	// EndpointOf gives the endpoint that a key describes.
	EndpointOf func(key string) deployment.EndpointID
	// SendOrder sends one order under a term and gives its result.
	SendOrder func(ctx context.Context, order loading.Order, holder string, term int64) loading.Result
	// Dial and Listen connect peers.
	Dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Listen func(address netip.AddrPort) (net.Listener, error)
	// Retire tells that an endpoint is gone, so that its connections can be closed.
	Retire func(id deployment.EndpointID)
}
