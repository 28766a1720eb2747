// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package wire

import (
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
)

// Message is the envelope of all messages between peers. Exactly one field is set.
type Message struct {
	Report  *Report  `msgpack:"r,omitempty"`
	View    *View    `msgpack:"v,omitempty"`
	Request *Request `msgpack:"q,omitempty"`
	// Successor informs a former planner which instance plans now.
	Successor *Successor `msgpack:"s,omitempty"`
	// Load is sent to a gatherer, Sum by a gatherer to the planner, and Totals by the planner to the gatherers and by these to
	// their members. Earlier versions neither send nor read them.
	Load   *Load   `msgpack:"l,omitempty"`
	Sum    *Sum    `msgpack:"u,omitempty"`
	Totals *Totals `msgpack:"t,omitempty"`
}

// Successor names the planner of a later term. Instances that cannot reach the store learn the planner from their peers by it.
type Successor struct {
	Term    int64          `msgpack:"t"`
	Address netip.AddrPort `msgpack:"z"`
}

// Address is an address that may be omitted. Without IsZero, the codec takes any structure without exported fields, such as
// netip.AddrPort, for empty.
type Address struct {
	netip.AddrPort
}

// IsZero reports whether there is no address.
func (a Address) IsZero() bool {
	return !a.IsValid()
}

// Request asks a peer for the configuration and for the present planner.
type Request struct {
	Instance string `msgpack:"i"`
	// PlannerOnly restricts the request to the present planner. Earlier versions ignore it and answer with the configuration and
	// the endpoints too.
	PlannerOnly bool `msgpack:"p,omitempty"`
}

// Report is what an instance reports to the planner.
type Report struct {
	Instance string `msgpack:"i"`
	// WithdrawalsSeen is the number of the last withdrawal announcement that the instance complies with.
	WithdrawalsSeen uint64 `msgpack:"w"`
	// ConfigurationRevision is the newest revision up to which the instance has all changes of the configuration's keys.
	ConfigurationRevision int64 `msgpack:"c"`
	// InFlight counts the requests in flight of the instance, Demands lists the adapters that it needs. Each report is complete: it
	// replaces the lists of the previous one.
	InFlight []EndpointCount `msgpack:"f,omitempty"`
	Demands  []Demand        `msgpack:"d,omitempty"`
	// InUse lists the copies that the requests in flight of the instance use.
	InUse []CopyCount `msgpack:"u,omitempty"`
	// Missing lists copies that were on offer but that the endpoint answered it does not hold.
	Missing []Copy `msgpack:"m,omitempty"`
	// Suspects are the endpoints that the instance has ejected, or that asked it for a rest.
	Suspects []deployment.EndpointID `msgpack:"s,omitempty"`
	// Unreachable are the suspects that refuse connections from the instance. Earlier versions neither send nor read it.
	Unreachable []deployment.EndpointID `msgpack:"un,omitempty"`
	// Items are keys of the configuration that the planner lacks according to its last view. They are sent when the planner asked
	// for them or, for a planner that never asks, once it has lacked them for too long.
	Items []store.Item `msgpack:"o,omitempty"`
	// Leaving reports that the instance is stopping.
	Leaving bool `msgpack:"l,omitempty"`
	// Rates are the arrival rates of the instance, sent once to each new planner.
	Rates []Rate `msgpack:"a,omitempty"`
	// FormerLoads repeats the RecentLoads of the last view that had them, sent once to each new planner.
	FormerLoads *FormerLoads `msgpack:"b,omitempty"`
	// Probe asks for a view that repeats this number, from which the instance derives the transmission delay of views; 0 asks for
	// none.
	Probe uint64 `msgpack:"p,omitempty"`
	// StoreReadAge is the time since the instance last read from the store.
	StoreReadAge time.Duration `msgpack:"k"`
	// Contact describes to a new planner how the instance is reached; nil otherwise. Earlier versions neither send nor read it.
	Contact *Contact `msgpack:"h,omitempty"`
	// Forwarder is the gatherer that forwards the planner's views to the instance; empty if the planner has to send them
	// directly. Earlier versions neither send nor read it.
	Forwarder string `msgpack:"fb,omitempty"`
	// EndpointsRead is the store revision as of which the instance itself has read all endpoints, if it knows nothing about them
	// from a planner; 0 otherwise.
	EndpointsRead int64 `msgpack:"er,omitempty"`
	// NeedsSnapshot reports that the instance missed views and needs a snapshot.
	NeedsSnapshot bool `msgpack:"nw,omitempty"`
	// DescribedUpTo is the store revision up to which the instance knows the description of each endpoint; 0 if it knows none. It
	// is sent to a new planner and with requests for a snapshot. Earlier versions neither send nor read it.
	DescribedUpTo int64 `msgpack:"du,omitempty"`
	// Crashes are crashes of endpoints during requests that the planner may not know of. A new planner gets all crashes that the
	// instance observed itself. Earlier versions neither send nor read them.
	Crashes []Crash `msgpack:"cr,omitempty"`
	// Limits are the endpoints' limits known to this instance, Lifted the limits that the instance saw end since the last report,
	// and Wants the endpoints with a limit to which it wants to send requests. Earlier versions neither send nor read them.
	Limits []Limit  `msgpack:"li,omitempty"`
	Lifted []Lifted `msgpack:"lf,omitempty"`
	Wants  []Want   `msgpack:"wt,omitempty"`
	// PartCrashes and PartDetails are like Crashes and CrashDetails for parts of prompts. Earlier versions neither send nor read them.
	PartCrashes []Crash       `msgpack:"pc,omitempty"`
	PartDetails *CrashDetails `msgpack:"px,omitempty"`
	// Brittle are the services of brittle endpoints that the instance knows, BrittleEnds those that it saw cease to be so since the last report, and
	// Full the endpoints of such services that rejected requests of the instance since then. Earlier versions neither send nor read them.
	Brittle     []Brittle    `msgpack:"bt,omitempty"`
	BrittleEnds []BrittleEnd `msgpack:"be,omitempty"`
	Full        []Full       `msgpack:"fu,omitempty"`
	// DrainingEndpoints are the endpoints that announced in responses that they are draining. Earlier versions neither send nor read it.
	DrainingEndpoints []Start `msgpack:"sl,omitempty"`
	// CrashDetails supplements Crashes. Earlier versions neither send nor read it.
	CrashDetails *CrashDetails `msgpack:"xd,omitempty"`
	// Pinned is the demand of requests that only the endpoints of one software may run, which Demands does not include. Like Demands, the list
	// is complete. Earlier versions neither send nor read it.
	Pinned []PinnedDemand `msgpack:"pd,omitempty"`
	// Recalled lists copies on which requests of the instance have not begun in time, since the last report, so that it recalled them,
	// or had lost or ended their exchange before.
	// Earlier versions neither send nor read it.
	Recalled []Copy `msgpack:"rc,omitempty"`
	// CutOff reports that the instance reaches no endpoint over its own links. Earlier versions neither send nor read it.
	CutOff bool `msgpack:"co,omitempty"`
}

// FormerLoads is the number of base-model loads announced by the planner of a term: Count loads had started in the load window that
// ended Age ago.
type FormerLoads struct {
	Term  int64         `msgpack:"t"`
	Count int           `msgpack:"n"`
	Age   time.Duration `msgpack:"g"`
}

// EndpointCount counts requests in flight on an endpoint.
type EndpointCount struct {
	ID    deployment.EndpointID `msgpack:"e"`
	Count int                   `msgpack:"n"`
	// Unread is the number of their prompt tokens that the endpoint has not processed yet. Earlier versions neither send nor read
	// it.
	Unread int `msgpack:"u,omitempty"`
}

// Demand is the demand of an instance for one adapter of a service.
type Demand struct {
	// Service, Model and Name identify the service, the base model and the adapter.
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	Name    string `msgpack:"a"`
	// Waiting counts the requests that wait for the adapter and the refused callers that are expected to retry soon.
	Waiting int `msgpack:"w,omitempty"`
	// InTime is the longest time, from when the report was built, in which any of these requests can still be answered in time. It
	// is a duration, so that the clocks of the two instances need not agree. A negative value means that all are late.
	InTime time.Duration `msgpack:"t,omitempty"`
	// Arrivals counts the requests since the last report.
	Arrivals int `msgpack:"n,omitempty"`
	// PromptTokens is the total prompt length of the arrivals in tokens. Earlier versions neither send nor read it.
	PromptTokens int `msgpack:"p,omitempty"`
}

// PinnedDemand is the demand of an instance for one adapter of a service at the endpoints of one software.
type PinnedDemand struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	Name    string `msgpack:"a"`
	// Software is the software whose endpoints may run the requests.
	Software string `msgpack:"v"`
	// Waiting and InTime are as in Demand.
	Waiting int           `msgpack:"w,omitempty"`
	InTime  time.Duration `msgpack:"t,omitempty"`
}

// Copy identifies an adapter on an endpoint.
type Copy struct {
	ID    deployment.EndpointID `msgpack:"e"`
	Model string                `msgpack:"m"`
	Name  string                `msgpack:"a"`
}

// CopyCount counts the requests in flight of one instance that use a copy. Each report carries one per copy in use, so it is
// encoded without field names.
type CopyCount struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID    deployment.EndpointID
	Model string
	Name  string
	Count int
}

// Copy returns the counted copy.
func (c CopyCount) Copy() Copy {
	return Copy{ID: c.ID, Model: c.Model, Name: c.Name}
}

// View is the state, or the changes of the state, that the planner sends to an instance.
type View struct {
	Planner string `msgpack:"p"`
	Term    int64  `msgpack:"t"`
	// Withdrawals is the number of the last withdrawal announcement that this view includes.
	Withdrawals uint64 `msgpack:"w"`
	// ReadAge is the time since the planner last knew all keys of the endpoints.
	ReadAge time.Duration `msgpack:"g"`
	// Address is the address of the planner; set only in answers to requests.
	Address Address `msgpack:"z,omitempty"`
	// ConfirmedAge is the time since the planner's lease was last confirmed.
	ConfirmedAge time.Duration `msgpack:"k"`
	// Full means that the endpoints that are not listed do not exist, as of EndpointsRevision.
	Full              bool  `msgpack:"x,omitempty"`
	EndpointsRevision int64 `msgpack:"y,omitempty"`
	// Endpoints are the changed endpoints, or all endpoints in a full view; Removed are the removed ones.
	Endpoints []Endpoint        `msgpack:"e,omitempty"`
	Removed   []RemovedEndpoint `msgpack:"d,omitempty"`
	// Heartbeat marks a view with all totals; other views carry no totals.
	Heartbeat bool `msgpack:"h,omitempty"`
	// Totals counts the requests in flight of all instances.
	Totals []EndpointCount `msgpack:"f,omitempty"`
	// Forecasts are the loads that started since the last view, or all loads under way in a heartbeat; a full view has none.
	Forecasts []Forecast `msgpack:"l,omitempty"`
	// Backlogs is, by service, the expected time from now until an adapter that has not been requested yet could be resident.
	Backlogs map[string]time.Duration `msgpack:"j,omitempty"`
	// Members is the number of instances that share the fleet-wide limits.
	Members int `msgpack:"n"`
	// ConfigurationRevision is the newest revision of the configuration's keys that the planner knows.
	ConfigurationRevision int64 `msgpack:"c"`
	// Items are keys of the configuration that the instance, according to its last report, has lacked for too long; the answer to a
	// request has all keys.
	Items []store.Item `msgpack:"o,omitempty"`
	// Resigned reports that the planner issues no more orders in its term.
	Resigned bool `msgpack:"b,omitempty"`
	// TermAge is the time from the start of the planner's term until it built the view, by the planner's clock; 0 from versions that
	// do not send it.
	TermAge time.Duration `msgpack:"m,omitempty"`
	// RequestsKeys reports that this planner requests the keys that it lacks, so that instances send no keys unasked. Earlier
	// versions do not request keys.
	RequestsKeys bool `msgpack:"q,omitempty"`
	// Probe is the number of the probe that this view answers; 0 if it answers none. Earlier versions answer none.
	Probe uint64 `msgpack:"i,omitempty"`
	// KeysRequestedFrom is the instance that the planner now asks for keys of the configuration; empty if it asks none.
	KeysRequestedFrom string `msgpack:"u,omitempty"`
	// RecentLoads counts the base-model loads that started in the load window before this view, including those under former
	// planners; nil from a planner of a version that does not send it.
	RecentLoads *int `msgpack:"a,omitempty"`
	// KeysAge is an upper bound, as of when the view was built, of the time since the changes in Items, and the changes that they
	// replaced for this instance, were acknowledged. 0 if unknown, and from versions that do not send it.
	KeysAge time.Duration `msgpack:"r,omitempty"`
	// Starts are the start times of the processes of Endpoints, as far as known. Earlier versions neither send nor read them.
	Starts []Start `msgpack:"s,omitempty"`
	// Software lists Endpoints by their software, as far as known. Earlier versions neither send nor read it.
	Software []SoftwareEndpoints `msgpack:"sw,omitempty"`
	// TotalsAge is the mean age of the members' counts of requests in flight when the view was built. Earlier versions neither send
	// nor read it.
	TotalsAge time.Duration `msgpack:"ta,omitempty"`
	// Sequence numbers the views with changes within a term without gaps. A snapshot has the number of the last view that it
	// includes. 0 in bare views and in views of versions that do not number them.
	Sequence uint64 `msgpack:"sq,omitempty"`
	// IsSnapshot marks a snapshot: the view includes the content of all earlier ones.
	IsSnapshot bool `msgpack:"wh,omitempty"`
	// UnchangedEndpoints are, in a snapshot for an instance that has read the endpoints, the endpoints whose state equals their description
	// in the store.
	UnchangedEndpoints []deployment.EndpointID `msgpack:"uc,omitempty"`
	// DescribedUpTo is the store revision up to which the views until this one include the description of each endpoint; 0 if
	// unknown. Earlier versions neither send nor read it.
	DescribedUpTo int64 `msgpack:"du,omitempty"`
	// DescribedEndpoints are, in a snapshot for an instance that knows the descriptions of these endpoints, the endpoints that offer only the
	// copies in the view's CopyChanges. Earlier versions neither send nor read it.
	DescribedEndpoints []KnownEndpoints `msgpack:"kn,omitempty"`
	// DescribedSoftware is the software of each element of DescribedEndpoints; empty if unknown. Earlier versions neither send nor read it.
	DescribedSoftware []string `msgpack:"ks,omitempty"`
	// Bare marks a view that the planner sends directly to an instance whose other views a gatherer forwards. It carries only keys
	// and the answer to a probe.
	Bare bool `msgpack:"ba,omitempty"`
	// CopyChanges are the copies that were added or removed at endpoints that are otherwise unchanged, or all copies of the endpoints in
	// DescribedEndpoints.
	CopyChanges []CopyChange `msgpack:"cp,omitempty"`
	// Unreachable are all endpoints that refuse connections from several instances. The list is in each view with totals and in views
	// after it changed; nil if the view does not include it. Earlier versions neither send nor read it.
	Unreachable *EndpointList `msgpack:"un,omitempty"`
	// Gatherers are all instances that aggregate loads for others. The list is in each view with totals and in views after it
	// changed. Earlier versions neither send nor read it.
	Gatherers []Gatherer `msgpack:"ga,omitempty"`
	// Crashes are crashes of endpoints during requests that no earlier view included; a snapshot includes those of the most suspect
	// requests. Earlier versions neither send nor read them.
	Crashes []Crash `msgpack:"cr,omitempty"`
	// Limits are all limits that endpoints state, which the planner allocates to the instances. The list is in each view with
	// totals and in views after it changed; nil if the view does not include it. Earlier versions neither send nor read it.
	Limits *LimitList `msgpack:"li,omitempty"`
	// Grants are the requests that the planner permitted since the last view. Earlier versions neither send nor read them.
	Grants []Grant `msgpack:"gr,omitempty"`
	// PartCrashes and PartDetails are like Crashes and CrashDetails for parts of prompts. Earlier versions neither send nor read them.
	PartCrashes []Crash       `msgpack:"pc,omitempty"`
	PartDetails *CrashDetails `msgpack:"px,omitempty"`
	// Brittle are all services of brittle endpoints, and the endpoints of these that rejected requests a short time ago. The list is in each
	// view with totals and in views after it changed; nil if the view does not include it. Earlier versions neither send nor read it.
	Brittle *BrittleList `msgpack:"bt,omitempty"`
	// CrashDetails supplements Crashes. Earlier versions neither send nor read it.
	CrashDetails *CrashDetails `msgpack:"xd,omitempty"`
	// Tunnels are instances through which others reach endpoints. The list is in each view with totals and in views after it changed;
	// nil if the view does not include it. Earlier versions neither send nor read it.
	Tunnels *TunnelList `msgpack:"tu,omitempty"`
}

// TunnelList is a list of instances that a message may omit.
type TunnelList struct {
	Tunnels []Tunnel `msgpack:"t,omitempty"`
}

// Tunnel is an instance that opens tunnels to endpoints. It is encoded without field names.
type Tunnel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Hall    string
	Address netip.AddrPort
}

// Rate is the arrival rate of an adapter at one instance, in requests per second.
type Rate struct {
	Service   string  `msgpack:"s"`
	Model     string  `msgpack:"m"`
	Name      string  `msgpack:"a"`
	PerSecond float64 `msgpack:"r"`
}

// Forecast is the expected remaining time of a load under way.
type Forecast struct {
	Service   string        `msgpack:"s"`
	Model     string        `msgpack:"m"`
	Name      string        `msgpack:"a"`
	Remaining time.Duration `msgpack:"u"`
}

// Key returns the adapter that is being loaded and its service.
func (f Forecast) Key() deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: f.Service, Adapter: deployment.Adapter{Model: f.Model, Name: f.Name}}
}
