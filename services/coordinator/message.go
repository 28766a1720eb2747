// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/deployment"
	"github.com/shelfledge/shelfledge/modules/store"
	"github.com/shelfledge/shelfledge/services/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/directory"
)

// message is what peers send each other; one field is set.
type message struct {
	Report  *report  `msgpack:"r,omitempty"`
	View    *view    `msgpack:"v,omitempty"`
	Request *request `msgpack:"q,omitempty"`
	// Successor tells a former planner who plans now.
	Successor *successor `msgpack:"s,omitempty"`
}

// successor names the planner of a later term; an instance that the store does not answer learns it from
// its peers.
type successor struct {
	Term    int64          `msgpack:"t"`
	Address netip.AddrPort `msgpack:"z"`
}

// request asks a peer for the configuration and for its word on the planner.
type request struct {
	Instance string `msgpack:"i"`
}

// report is what an instance tells the planner.
type report struct {
	Instance string `msgpack:"i"`
	// WithdrawalsSeen is the last announcement of a withdrawal that the instance acts on.
	WithdrawalsSeen uint64 `msgpack:"w"`
	// ConfigurationAt is the newest revision of the configuration's keys that it knows.
	ConfigurationAt int64           `msgpack:"c"`
	InFlight        []endpointCount `msgpack:"f,omitempty"`
	Demands         []adapterDemand `msgpack:"d,omitempty"`
	// InUse are the copies that its requests in flight use.
	InUse    []copyCount             `msgpack:"u,omitempty"`
	Missing  []copyName              `msgpack:"m,omitempty"`
	Suspects []deployment.EndpointID `msgpack:"s,omitempty"`
	Items    []store.Item            `msgpack:"o,omitempty"`
	Leaving  bool                    `msgpack:"l,omitempty"`
	// Rates are the instance's arrival rates, told once to each new planner.
	Rates []adapterRate `msgpack:"a,omitempty"`
	// StoreReadAge is how long ago the instance last read from the store.
	StoreReadAge time.Duration `msgpack:"k"`
}

type endpointCount struct {
	ID    deployment.EndpointID `msgpack:"e"`
	Count int                   `msgpack:"n"`
}

type adapterDemand struct {
	Service  string        `msgpack:"s"`
	Model    string        `msgpack:"m"`
	Name     string        `msgpack:"a"`
	Waiting  int           `msgpack:"w,omitempty"`
	InTime   time.Duration `msgpack:"t,omitempty"`
	Arrivals int           `msgpack:"n,omitempty"`
}

type copyName struct {
	ID    deployment.EndpointID `msgpack:"e"`
	Model string                `msgpack:"m"`
	Name  string                `msgpack:"a"`
}

// copyCount counts one instance's requests in flight that use a copy; there is one for each copy in
// use in each report, so it is encoded without field names.
type copyCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID    deployment.EndpointID
	Model string
	Name  string
	Count int
}

func (c copyCount) copyName() copyName {
	return copyName{ID: c.ID, Model: c.Model, Name: c.Name}
}

// view is what the planner tells an instance.
type view struct {
	Planner string `msgpack:"p"`
	Term    int64  `msgpack:"t"`
	// Withdrawals is the number of the last announcement that this view contains.
	Withdrawals uint64 `msgpack:"w"`
	// ReadAge is how long ago the endpoints' keys were last known to be complete.
	ReadAge time.Duration `msgpack:"g"`
	// Address is where the planner is reached; only answers to requests name it.
	Address netip.AddrPort `msgpack:"z,omitempty"`
	// ConfirmedAge is how long ago the planner's ownership was confirmed.
	ConfirmedAge time.Duration `msgpack:"k"`
	// Full says that endpoints which are not listed are gone, as of revision At.
	Full      bool           `msgpack:"x,omitempty"`
	At        int64          `msgpack:"y,omitempty"`
	Endpoints []endpointView `msgpack:"e,omitempty"`
	Removed   []endpointGone `msgpack:"d,omitempty"`
	// Heartbeat marks a view that carries all totals; others carry none.
	Heartbeat bool            `msgpack:"h,omitempty"`
	Totals    []endpointCount `msgpack:"f,omitempty"`
	Forecasts []loadForecast  `msgpack:"l,omitempty"`
	// Backlogs are when an adapter would be there that nobody has asked for yet, by service.
	Backlogs        map[string]time.Duration `msgpack:"j,omitempty"`
	Members         int                      `msgpack:"n"`
	ConfigurationAt int64                    `msgpack:"c"`
	Items           []store.Item             `msgpack:"o,omitempty"`
	// Resigned says that the planner gives no more orders in its term.
	Resigned bool `msgpack:"b,omitempty"`
}

// endpointView is sent for each change of an endpoint, so it is encoded without field names.
type endpointView struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID       deployment.EndpointID    `msgpack:"i"`
	Revision int64                    `msgpack:"r"`
	Service  string                   `msgpack:"s"`
	Address  netip.AddrPort           `msgpack:"a"`
	Hall     string                   `msgpack:"z"`
	Slots    int                      `msgpack:"n"`
	State    deployment.EndpointState `msgpack:"t"`
	Models   []modelView              `msgpack:"m"`
}

// modelView is a base model with the adapters that are on offer.
type modelView struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name     string
	Adapters []adapterVersion
}

type adapterVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name    string
	Version int64
}

type endpointGone struct {
	ID       deployment.EndpointID `msgpack:"i"`
	Revision int64                 `msgpack:"r"`
}

type adapterRate struct {
	Service   string  `msgpack:"s"`
	Model     string  `msgpack:"m"`
	Name      string  `msgpack:"a"`
	PerSecond float64 `msgpack:"r"`
}

// loadForecast says how long from now a load under way is expected to take.
type loadForecast struct {
	Service string        `msgpack:"s"`
	Model   string        `msgpack:"m"`
	Name    string        `msgpack:"a"`
	Until   time.Duration `msgpack:"u"`
}

func (f loadForecast) key() forecast.Key {
	return forecast.Key{Service: f.Service, Adapter: deployment.Adapter{Model: f.Model, Name: f.Name}}
}

func toEndpointView(entry *directory.Entry) endpointView {
	models := make([]modelView, 0, len(entry.OfferedModels))
	for _, name := range entry.OfferedModels {
		model := modelView{Name: name}
		for adapter, version := range entry.Offered {
			if adapter.Model == name {
				model.Adapters = append(model.Adapters, adapterVersion{Name: adapter.Name, Version: version})
			}
		}
		models = append(models, model)
	}
	return endpointView{
		ID: entry.ID, Revision: entry.Revision, Service: entry.Service, Address: entry.Address, Hall: entry.Hall,
		Slots: entry.Slots, State: entry.State, Models: models,
	}
}

func (v *endpointView) endpoint() deployment.Endpoint {
	endpoint := deployment.Endpoint{
		ID: v.ID, Service: v.Service, Address: v.Address, Hall: v.Hall, Slots: v.Slots, State: v.State,
		Adapters: make(map[deployment.Adapter]int64),
	}
	for _, model := range v.Models {
		endpoint.Models = append(endpoint.Models, model.Name)
		for _, one := range model.Adapters {
			endpoint.Adapters[deployment.Adapter{Model: model.Name, Name: one.Name}] = one.Version
		}
	}
	return endpoint
}
