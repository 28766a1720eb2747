// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Contact is how an instance is reached, sent once to each new planner.
type Contact struct {
	Hall    string  `msgpack:"h"`
	Address Address `msgpack:"z"`
	// LinkRate is how many bytes a second its link carries; 0 if it is not known.
	LinkRate int `msgpack:"l"`
}

// Gatherer names an instance that gathers the loads of others in its hall.
type Gatherer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name    string
	Hall    string
	Address Address
}

// Count is what an endpoint has to do of some instances; there are many in each message, so it is encoded without field names.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID deployment.EndpointID
	// Requests counts the requests in flight there, Unread the tokens of their prompts that it has not read yet.
	Requests int
	Unread   int
}

// Load is what an instance tells the one that gathers for it.
type Load struct {
	Instance string  `msgpack:"i"`
	InFlight []Count `msgpack:"f,omitempty"`
	// Arrivals are the requests by adapter since the last load or report, which tells none that is told here; nothing waits in them.
	Arrivals []Demand `msgpack:"a,omitempty"`
}

// Sum is what a gatherer tells the planner.
type Sum struct {
	Gatherer string `msgpack:"i"`
	// Members are the instances whose loads are in it.
	Members []string `msgpack:"m"`
	// Age is how old those loads were on the mean when the sum was made.
	Age      time.Duration `msgpack:"g"`
	InFlight []Count       `msgpack:"f,omitempty"`
	Arrivals []Demand      `msgpack:"a,omitempty"`
}

// Totals is what all instances have in flight, which the planner tells the gatherers and these their members.
type Totals struct {
	Planner string `msgpack:"p"`
	Term    int64  `msgpack:"t"`
	// Age is how old the loads in it were on the mean when the planner made it.
	Age      time.Duration `msgpack:"g"`
	InFlight []Count       `msgpack:"f,omitempty"`
}

// Key names the adapter that is asked for.
func (d Demand) Key() deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: d.Service, Adapter: deployment.Adapter{Model: d.Model, Name: d.Name}}
}
