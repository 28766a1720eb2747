// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"iter"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// Message is what peers send each other; one field is set.
type Message struct {
	Report  *Report  `msgpack:"r,omitempty"`
	View    *View    `msgpack:"v,omitempty"`
	Request *Request `msgpack:"q,omitempty"`
	// Successor tells a former planner who plans now.
	Successor *Successor `msgpack:"s,omitempty"`
	// Load goes to the instance that gathers, Sum from there to the planner, and Totals back both ways. Earlier versions neither
	// send nor read them.
	Load   *Load   `msgpack:"l,omitempty"`
	Sum    *Sum    `msgpack:"u,omitempty"`
	Totals *Totals `msgpack:"t,omitempty"`
}

// Successor names the planner of a later term; an instance that the store does not answer learns it from
// its peers.
type Successor struct {
	Term    int64          `msgpack:"t"`
	Address netip.AddrPort `msgpack:"z"`
}

// Address is an address that may be left out. The codec takes a structure without exported fields for empty, which
// netip.AddrPort is, unless the type says itself what its zero value is.
type Address struct {
	netip.AddrPort
}

// IsZero tells whether there is no address.
func (a Address) IsZero() bool {
	return !a.IsValid()
}

// Request asks a peer for the configuration and for who plans.
type Request struct {
	Instance string `msgpack:"i"`
	// PlannerOnly asks for who plans alone. Earlier versions answer with the configuration and the endpoints all the same.
	PlannerOnly bool `msgpack:"p,omitempty"`
}

// Report is what an instance tells the planner.
type Report struct {
	Instance string `msgpack:"i"`
	// WithdrawalsSeen is the last announcement of a withdrawal that the instance acts on.
	WithdrawalsSeen uint64 `msgpack:"w"`
	// ConfigurationRevision is the newest revision of the configuration's keys up to which it lacks no change.
	ConfigurationRevision int64 `msgpack:"c"`
	// InFlight counts its requests in flight, Demands is what it asks for; each report names all of them.
	InFlight []EndpointCount `msgpack:"f,omitempty"`
	Demands  []Demand        `msgpack:"d,omitempty"`
	// InUse are the copies that its requests in flight use.
	InUse []CopyCount `msgpack:"u,omitempty"`
	// Missing are the copies that an endpoint answered it does not hold, though they were on offer.
	Missing []Copy `msgpack:"m,omitempty"`
	// Suspects are the endpoints that the instance has ejected, or that asked it for rest.
	Suspects []deployment.EndpointID `msgpack:"s,omitempty"`
	// Unreached are those of the suspects that refuse the instance's connections. Earlier versions neither tell nor read them.
	Unreached []deployment.EndpointID `msgpack:"un,omitempty"`
	// Items are keys of the configuration that the planner lacks, by its last view: when it asked for them, or, where it asks
	// for none, has lacked them for too long.
	Items []store.Item `msgpack:"o,omitempty"`
	// Leaving tells that the process stops.
	Leaving bool `msgpack:"l,omitempty"`
	// Rates are the instance's arrival rates, sent once to each new planner.
	Rates []Rate `msgpack:"a,omitempty"`
	// FormerLoads is what the last view with RecentLoads told, sent once to each new planner.
	FormerLoads *FormerLoads `msgpack:"b,omitempty"`
	// Probe asks for a view that names this number, from which the instance learns how long views wait on their way; 0 asks for
	// none.
	Probe uint64 `msgpack:"p,omitempty"`
	// StoreReadAge is how long ago the instance last read from the store.
	StoreReadAge time.Duration `msgpack:"k"`
	// Contact tells a new planner how the instance is reached; nil otherwise. Earlier versions neither tell nor read it.
	Contact *Contact `msgpack:"h,omitempty"`
	// FedBy is the gatherer that passes the planner's views on to the instance; empty if it needs them from the planner itself. Earlier
	// versions neither tell nor read it.
	FedBy string `msgpack:"fb,omitempty"`
	// EndpointsRead is the store's revision as of which the instance has read all endpoints itself, and knows nothing of them from a
	// planner; 0 otherwise.
	EndpointsRead int64 `msgpack:"er,omitempty"`
	// NeedsWhole says that views are missing here, and a whole one is needed.
	NeedsWhole bool `msgpack:"nw,omitempty"`
	// DescribedUpTo is the store's revision up to which the instance knows the description of each endpoint, sent to a new planner and
	// where a whole view is needed; 0 if it knows none. Earlier versions neither tell nor read it.
	DescribedUpTo int64 `msgpack:"du,omitempty"`
	// Crashes are endings of endpoints under requests that the planner may not know; to a new planner all that the instance saw itself.
	// Earlier versions neither tell nor read them.
	Crashes []Crash `msgpack:"cr,omitempty"`
	// Limits are the limits that endpoints named, as far as this instance knows, Lifted those that it heard to be over since the last
	// report, and Wants the endpoints with a limit to which it wants to send requests. Earlier versions neither tell nor read them.
	Limits []Limit  `msgpack:"li,omitempty"`
	Lifted []Lifted `msgpack:"lf,omitempty"`
	Wants  []Want   `msgpack:"wt,omitempty"`
	// SaidLeaving are the endpoints that said in answers that they leave. Earlier versions neither tell nor read them.
	SaidLeaving []Start `msgpack:"sl,omitempty"`
}

// FormerLoads is what the planner of a term told of base models' loads: Count had begun in the load window before Age ago.
type FormerLoads struct {
	Term  int64         `msgpack:"t"`
	Count int           `msgpack:"n"`
	Age   time.Duration `msgpack:"g"`
}

// EndpointCount counts requests in flight on an endpoint.
type EndpointCount struct {
	ID    deployment.EndpointID `msgpack:"e"`
	Count int                   `msgpack:"n"`
	// Unread is how many tokens of their prompts it has not read yet. Earlier versions neither tell nor read it.
	Unread int `msgpack:"u,omitempty"`
}

// Demand is what an instance asks of one adapter of a service.
type Demand struct {
	// Service, Model and Name are the service, the base model and the adapter that is asked for.
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	Name    string `msgpack:"a"`
	// Waiting counts requests that wait for it, and refused callers that are expected back soon.
	Waiting int `msgpack:"w,omitempty"`
	// InTime is for how long after the report was built the last of those can still be answered in time: a span, so
	// that the clocks of the two instances need not agree. Below zero, all are late.
	InTime time.Duration `msgpack:"t,omitempty"`
	// Arrivals counts the requests since the last report.
	Arrivals int `msgpack:"n,omitempty"`
	// Prompts sums the prompts of the arrivals, in tokens. Earlier versions neither tell nor read it.
	Prompts int `msgpack:"p,omitempty"`
}

// Copy names an adapter on an endpoint.
type Copy struct {
	ID    deployment.EndpointID `msgpack:"e"`
	Model string                `msgpack:"m"`
	Name  string                `msgpack:"a"`
}

// CopyCount counts one instance's requests in flight that use a copy; there is one for each copy in
// use in each report, so it is encoded without field names.
type CopyCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID    deployment.EndpointID
	Model string
	Name  string
	Count int
}

// Copy gives the copy that is counted.
func (c CopyCount) Copy() Copy {
	return Copy{ID: c.ID, Model: c.Model, Name: c.Name}
}

// View is what the planner tells an instance.
type View struct {
	Planner string `msgpack:"p"`
	Term    int64  `msgpack:"t"`
	// Withdrawals is the number of the last announcement that this view contains.
	Withdrawals uint64 `msgpack:"w"`
	// ReadAge is how long ago the endpoints' keys were last known to be complete.
	ReadAge time.Duration `msgpack:"g"`
	// Address is where the planner is reached; only answers to requests name it.
	Address Address `msgpack:"z,omitempty"`
	// ConfirmedAge is how long ago the planner's lease was confirmed.
	ConfirmedAge time.Duration `msgpack:"k"`
	// Full says that endpoints which are not listed are gone, as of EndpointsRevision.
	Full              bool  `msgpack:"x,omitempty"`
	EndpointsRevision int64 `msgpack:"y,omitempty"`
	// Endpoints are those that changed, or all in a full view; Removed are those that are gone.
	Endpoints []Endpoint `msgpack:"e,omitempty"`
	Removed   []Gone     `msgpack:"d,omitempty"`
	// Heartbeat marks a view that carries all totals; others carry none.
	Heartbeat bool `msgpack:"h,omitempty"`
	// Totals count the requests in flight of all instances.
	Totals []EndpointCount `msgpack:"f,omitempty"`
	// Forecasts are the loads that began since the last view, or all under way in a heartbeat; a full view has
	// none.
	Forecasts []Forecast `msgpack:"l,omitempty"`
	// Backlogs are when an adapter would be there that nobody has asked for yet, by service, from now.
	Backlogs map[string]time.Duration `msgpack:"j,omitempty"`
	// Members is the number of instances that share the fleet's bounds.
	Members int `msgpack:"n"`
	// ConfigurationRevision is the newest revision of the configuration's keys that the planner knows.
	ConfigurationRevision int64 `msgpack:"c"`
	// Items are keys of the configuration that the instance has lacked for too long, by its last report, or all in the
	// answer to a request.
	Items []store.Item `msgpack:"o,omitempty"`
	// Resigned says that the planner gives no more orders in its term.
	Resigned bool `msgpack:"b,omitempty"`
	// Made is for how long the planner had planned, by its own clock, when it made the view; 0 from versions that do not
	// tell it.
	Made time.Duration `msgpack:"m,omitempty"`
	// AsksForKeys says that the planner asks for keys that it lacks: no instance sends them otherwise. Earlier versions do not ask.
	AsksForKeys bool `msgpack:"q,omitempty"`
	// Probe is the number of the report that this view answers; 0 for others. Earlier versions answer none.
	Probe uint64 `msgpack:"i,omitempty"`
	// KeysFrom is the instance that the planner asks for keys of the configuration now; empty if it asks none.
	KeysFrom string `msgpack:"u,omitempty"`
	// RecentLoads counts the base models' loads that began in the load window before this view, also under former planners;
	// nil if the planner does not tell them, as one of the version before does not.
	RecentLoads *int `msgpack:"a,omitempty"`
	// KeysAge is how long before this view was made the changes in Items, and those that they replaced for this instance, were not yet
	// acknowledged; 0 where that is not known, and from versions that do not tell it.
	KeysAge time.Duration `msgpack:"r,omitempty"`
	// Starts are the starts of the endpoints in Endpoints, as far as they are known. Earlier versions neither tell nor read them.
	Starts []Start `msgpack:"s,omitempty"`
	// TotalsAge is how old the members' requests in flight were on the mean when the view was made. Earlier versions neither tell
	// nor read it.
	TotalsAge time.Duration `msgpack:"ta,omitempty"`
	// Sequence numbers the views of changes of a term, each one above the last; a whole view has that of the last one it contains. 0 in
	// views of versions that do not number them, and in bare ones.
	Sequence uint64 `msgpack:"sq,omitempty"`
	// Whole says that the view contains all that those before it told.
	Whole bool `msgpack:"wh,omitempty"`
	// Unchanged are the endpoints that are as the store describes them, in a whole view for an instance that has read them.
	Unchanged []deployment.EndpointID `msgpack:"uc,omitempty"`
	// DescribedUpTo is the store's revision up to which the views up to this one tell each endpoint's description; 0 if that is not known.
	// Earlier versions neither tell nor read it.
	DescribedUpTo int64 `msgpack:"du,omitempty"`
	// Known are, in a whole view for an instance that knows their descriptions, the endpoints that offer no more than the view's Copies.
	// Earlier versions neither tell nor read them.
	Known []KnownEndpoints `msgpack:"kn,omitempty"`
	// Bare says that the view carries keys and the answer to a probe only, beside those that a gatherer passes on.
	Bare bool `msgpack:"ba,omitempty"`
	// Copies are the copies that came or went at endpoints that did not change otherwise, or all of the Known ones.
	Copies []CopyChange `msgpack:"cp,omitempty"`
	// Unreached are all endpoints that refuse several instances' connections, in each view with totals and where they have changed; nil if the
	// view does not tell. Earlier versions neither tell nor read them.
	Unreached *EndpointList `msgpack:"un,omitempty"`
	// Gatherers are all instances that gather for others, in each view with totals and where they have changed. Earlier versions
	// neither tell nor read them.
	Gatherers []Gatherer `msgpack:"ga,omitempty"`
	// Crashes are endings of endpoints under requests that were not told yet, in whole views those of the most suspected requests. Earlier
	// versions neither tell nor read them.
	Crashes []Crash `msgpack:"cr,omitempty"`
	// Limits are all limits that endpoints name, in each view with totals and where they have changed; nil if the view does not tell. The
	// planner allocates them. Earlier versions neither tell nor read them.
	Limits *LimitList `msgpack:"li,omitempty"`
	// Grants are the requests that the planner granted since the last view. Earlier versions neither tell nor read them.
	Grants []Grant `msgpack:"gr,omitempty"`
}

// Endpoint is sent for each change of an endpoint, so it is encoded without field names.
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

// Model is a base model with the adapters that are on offer.
type Model struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name     string
	Adapters []AdapterVersion
}

// AdapterVersion is an adapter on offer and its version.
type AdapterVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name    string
	Version int64
}

// CopyChange is a copy that is on offer from now on at a version, or with version 0 no more.
type CopyChange struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID      deployment.EndpointID
	Model   string
	Name    string
	Version int64
}

// Start is when the process of an endpoint started, in milliseconds of Unix time.
type Start struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID   deployment.EndpointID
	Born int64
}

// Crash tells that an endpoint ended while it had a request, or without an endpoint that an instance tries one that was held back, so it is encoded without field names.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Request  fingerprint.Fingerprint
	Endpoint deployment.EndpointID
	// Age is for how long that has been known, and Answered says that the request got a whole answer since.
	Age      time.Duration
	Answered bool
}

// EndpointList names endpoints.
type EndpointList struct {
	IDs []deployment.EndpointID `msgpack:"e,omitempty"`
}

// KnownEndpoints are endpoints that hold the same base models.
type KnownEndpoints struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Models []string
	IDs    []deployment.EndpointID
}

// Gone names an endpoint that was removed at a revision of the store.
type Gone struct {
	ID       deployment.EndpointID `msgpack:"i"`
	Revision int64                 `msgpack:"r"`
}

// Rate is an adapter's arrival rate at one instance, in requests a second.
type Rate struct {
	Service   string  `msgpack:"s"`
	Model     string  `msgpack:"m"`
	Name      string  `msgpack:"a"`
	PerSecond float64 `msgpack:"r"`
}

// Forecast says how long from now a load under way is expected to take.
type Forecast struct {
	Service   string        `msgpack:"s"`
	Model     string        `msgpack:"m"`
	Name      string        `msgpack:"a"`
	Remaining time.Duration `msgpack:"u"`
}

// Key names the adapter whose load is forecast.
func (f Forecast) Key() deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: f.Service, Adapter: deployment.Adapter{Model: f.Model, Name: f.Name}}
}

// AddEndpoints adds descriptions of endpoints, with their starts.
func (v *View) AddEndpoints(endpoints iter.Seq[*directory.EndpointStatus]) {
	for status := range endpoints {
		v.Endpoints = append(v.Endpoints, FromStatus(status))
		if !status.Born.IsZero() {
			v.Starts = append(v.Starts, Start{ID: status.ID, Born: status.Born.UnixMilli()})
		}
	}
}

// Described gives the descriptions of the endpoints that a view names.
func (v *View) Described() []deployment.Endpoint {
	born := make(map[deployment.EndpointID]time.Time, len(v.Starts))
	for _, start := range v.Starts {
		born[start.ID] = time.UnixMilli(start.Born)
	}
	endpoints := make([]deployment.Endpoint, 0, len(v.Endpoints))
	for i := range v.Endpoints {
		endpoint := v.Endpoints[i].Endpoint()
		endpoint.Born = born[endpoint.ID]
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// FromStatus gives an endpoint as the planner tells it: with the models and adapters that are on offer.
func FromStatus(status *directory.EndpointStatus) Endpoint {
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

// Endpoint gives the description that a follower keeps.
func (v *Endpoint) Endpoint() deployment.Endpoint {
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
