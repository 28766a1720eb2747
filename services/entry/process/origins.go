// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/clock"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
	"github.com/shelfledge/shelfledge/services/entry/origin/exchange"
)

// newOrigins returns the service that knows where streams began. It uses the UDP port with the number of the port for tunnels, and keeps in the
// store what has to outlive all instances.
func newOrigins(options Options, client store.Client, clock *clock.Clock, log *logrus.Entry) *exchange.Service {
	return exchange.New(exchange.Options{
		Hall: options.Coordinator.Hall, Address: options.Tunnels, Now: clock.Now, Log: log,
		Archive: &archive.Archive{Store: client, Writer: rand.Uint64()},
	})
}

// observeOrigins passes on what the coordinator learns of softwares and of routes.
func observeOrigins(options *coordinator.Options, origins *exchange.Service) {
	options.ObserveSoftware = origins.ObserveEndpoints
	options.InterruptSoftware = origins.InterruptObservation
	options.ObserveConfiguration = func(now time.Time, configuration *deployment.Configuration) {
		origins.SetRoutes(now, configuration.StreamServices())
		origins.SetSharedServices(now, configuration.SharedServices())
	}
}

// instancesOf returns the instances that open tunnels as those that know where streams began.
func instancesOf(tunnels []wire.Tunnel) []origin.Instance {
	instances := make([]origin.Instance, 0, len(tunnels))
	for _, opened := range tunnels {
		instances = append(instances, origin.Instance{Hall: opened.Hall, Address: opened.Address})
	}
	return instances
}
