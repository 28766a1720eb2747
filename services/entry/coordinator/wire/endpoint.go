// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"iter"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// Endpoint describes an endpoint. It is sent for each change of an endpoint, so it is encoded without field names.
type Endpoint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID       deployment.EndpointID    `msgpack:"i"`
	Revision int64                    `msgpack:"r"`
	Service  string                   `msgpack:"s"`
	Address  netip.AddrPort           `msgpack:"a"`
	Hall     string                   `msgpack:"z"`
	Slots    int                      `msgpack:"n"`
	State    deployment.EndpointState `msgpack:"t"`
	Models   []Model                  `msgpack:"m"`
}

// Model is a base model with the adapters on offer.
type Model struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name     string
	Adapters []AdapterVersion
}

// AdapterVersion is an adapter on offer with its version.
type AdapterVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name    string
	Version int64
}

// CopyChange reports that a copy is now on offer at a version, or with version 0 that it is no longer on offer.
type CopyChange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID      deployment.EndpointID
	Model   string
	Name    string
	Version int64
}

// Start is the start time of an endpoint's process in milliseconds of Unix time.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID   deployment.EndpointID
	Born int64
}

// EndpointList is a list of endpoints that a message may omit.
type EndpointList struct {
	IDs []deployment.EndpointID `msgpack:"e,omitempty"`
}

// SoftwareEndpoints are endpoints that run the same software.
type SoftwareEndpoints struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Software string
	IDs      []deployment.EndpointID
}

// KnownEndpoints are endpoints that hold the same base models.
type KnownEndpoints struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Models []string
	IDs    []deployment.EndpointID
}

// RemovedEndpoint is an endpoint that was removed at a revision of the store.
type RemovedEndpoint struct {
	ID       deployment.EndpointID `msgpack:"i"`
	Revision int64                 `msgpack:"r"`
}

// AddEndpoints adds the descriptions, start times and software of endpoints.
func (v *View) AddEndpoints(endpoints iter.Seq[*directory.EndpointStatus]) {
	for status := range endpoints {
		v.Endpoints = append(v.Endpoints, EndpointFromStatus(status))
		if !status.Born.IsZero() {
			v.Starts = append(v.Starts, Start{ID: status.ID, Born: status.Born.UnixMilli()})
		}
		if status.Software != "" {
			v.addSoftware(status.ID, status.Software)
		}
	}
}

// addSoftware adds the software of an endpoint.
func (v *View) addSoftware(id deployment.EndpointID, software string) {
	for i := range v.Software {
		if v.Software[i].Software == software {
			v.Software[i].IDs = append(v.Software[i].IDs, id)
			return
		}
	}
	v.Software = append(v.Software, SoftwareEndpoints{Software: software, IDs: []deployment.EndpointID{id}})
}

// DescribedSoftwareOf returns the software of an element of DescribedEndpoints; empty if unknown.
func (v *View) DescribedSoftwareOf(position int) string {
	if position >= len(v.DescribedSoftware) {
		return ""
	}
	return v.DescribedSoftware[position]
}

// Descriptions returns the descriptions of the endpoints in the view.
func (v *View) Descriptions() []deployment.Endpoint {
	born := make(map[deployment.EndpointID]time.Time, len(v.Starts))
	for _, start := range v.Starts {
		born[start.ID] = time.UnixMilli(start.Born)
	}
	software := make(map[deployment.EndpointID]string, len(v.Endpoints))
	for _, group := range v.Software {
		for _, id := range group.IDs {
			software[id] = group.Software
		}
	}
	endpoints := make([]deployment.Endpoint, 0, len(v.Endpoints))
	for i := range v.Endpoints {
		endpoint := v.Endpoints[i].Endpoint()
		endpoint.Born, endpoint.Software = born[endpoint.ID], software[endpoint.ID]
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// EndpointFromStatus returns the form in which the planner sends an endpoint: with the models and adapters on offer.
func EndpointFromStatus(status *directory.EndpointStatus) Endpoint {
	models := make([]Model, 0, len(status.OfferedModels))
	for _, name := range status.OfferedModels {
		model := Model{Name: name}
		for adapter, version := range status.Offered {
			if adapter.Model == name {
				model.Adapters = append(model.Adapters, AdapterVersion{Name: adapter.Name, Version: version})
			}
		}
		models = append(models, model)
	}
	return Endpoint{
		ID: status.ID, Revision: status.Revision, Service: status.Service, Address: status.Address, Hall: status.Hall,
		Slots: status.Slots, State: status.State, Models: models,
	}
}

// Endpoint returns the description that a member stores.
func (v *Endpoint) Endpoint() deployment.Endpoint {
	endpoint := deployment.Endpoint{
		ID: v.ID, Service: v.Service, Address: v.Address, Hall: v.Hall, Slots: v.Slots, State: v.State,
		Adapters: make(map[deployment.Adapter]int64),
	}
	for _, model := range v.Models {
		endpoint.Models = append(endpoint.Models, model.Name)
		for _, adapter := range model.Adapters {
			endpoint.Adapters[deployment.Adapter{Model: model.Name, Name: adapter.Name}] = adapter.Version
		}
	}
	return endpoint
}
