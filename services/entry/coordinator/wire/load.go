// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Contact describes how an instance is reached. It is sent once to each new planner.
type Contact struct {
	Hall    string  `msgpack:"h"`
	Address Address `msgpack:"z"`
	// LinkRate is the capacity of the network link of the instance in bytes per second; 0 if unknown.
	LinkRate int `msgpack:"l"`
	// Tunnel is the address at which the instance opens tunnels to endpoints. Earlier versions neither open tunnels nor send it.
	Tunnel Address `msgpack:"t,omitempty"`
}

// Gatherer names an instance that aggregates the loads of other instances in its hall.
type Gatherer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name    string
	Hall    string
	Address Address
}

// Count is the work of an endpoint for some instances. Each message carries many counts, so a count is encoded without field names.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID deployment.EndpointID
	// Requests is the number of requests in flight on the endpoint, Unread the number of their prompt tokens that the endpoint has
	// not processed yet.
	Requests int
	Unread   int
}

// Load is the report of an instance to its gatherer: its requests in flight and arrivals.
type Load struct {
	Instance string  `msgpack:"i"`
	InFlight []Count `msgpack:"f,omitempty"`
	// Arrivals counts the requests by adapter since the last load or report. An arrival is sent either in a load or in a report,
	// and Waiting is always 0 in these demands.
	Arrivals []Demand `msgpack:"a,omitempty"`
}

// Sum is the total of the loads of a group, which its gatherer reports to the planner.
type Sum struct {
	Gatherer string `msgpack:"i"`
	// Members are the instances whose loads are included.
	Members []string `msgpack:"m"`
	// Age is the mean age of those loads when the sum was built.
	Age      time.Duration `msgpack:"g"`
	InFlight []Count       `msgpack:"f,omitempty"`
	Arrivals []Demand      `msgpack:"a,omitempty"`
}

// Totals is the number of requests in flight of all instances. The planner sends it to the gatherers, and each gatherer to its
// members.
type Totals struct {
	Planner string `msgpack:"p"`
	Term    int64  `msgpack:"t"`
	// Age is the mean age of the included loads when the planner built the totals.
	Age      time.Duration `msgpack:"g"`
	InFlight []Count       `msgpack:"f,omitempty"`
}

// Key returns the requested adapter and its service.
func (d Demand) Key() deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: d.Service, Adapter: deployment.Adapter{Model: d.Model, Name: d.Name}}
}
