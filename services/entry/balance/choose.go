// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/limit"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

const (
	// hallPenalty and plainHallPenalty are the costs of crossing between halls, for model and plain services, in requests in flight. A
	// higher value accepts a longer queue for a shorter network path.
	hallPenalty      = 1.0
	plainHallPenalty = 2.5
)

// Options are the settings for Choose.
type Options struct {
	// Hall is the instance's own hall, from the settings.
	Hall string
	// HallPenalty is the cost of crossing halls for services with models, in requests in flight.
	HallPenalty float64
	// PlainHallPenalty is the cost of crossing halls for plain services, in requests in flight.
	PlainHallPenalty float64
	// Limit is the limit at which an endpoint with models is saturated.
	Limit SlotLimit
	// ResumeLimit is the limit at which an endpoint with models accepts no requests that only one software may run.
	ResumeLimit SlotLimit
	// Random returns a number in [0, 1), by which the endpoint is drawn.
	Random func() float64
}

// NewOptions returns the settings of an instance in a hall.
func NewOptions(hall string, random func() float64) Options {
	return Options{Hall: hall, HallPenalty: hallPenalty, PlainHallPenalty: plainHallPenalty, Limit: RequestLimit(), ResumeLimit: ResumeLimit(), Random: random}
}

// Requirement describes what a request needs of an endpoint.
type Requirement struct {
	// Request is the caller's request, decoded from its head.
	Request *deployment.Request
	// Version is the lowest version of the adapter that may run the request, as named in the store; 0 allows any version.
	Version int64
	// FormerVersion is the lowest older version that is allowed (0 allows any) at an endpoint in whose own queue the request is known to
	// wait less than FormerWait. If FormerWait is 0, older versions are not allowed.
	FormerVersion int64
	FormerWait    time.Duration
	// OthersKnown is set if the other instances' requests in flight come from a recent view, so that a count of 0 means none.
	OthersKnown bool
	// OthersAge is the age of the other instances' counts, and MeanInFlightTime that of the service's requests. Together
	// they indicate how much the counts may have changed since.
	OthersAge        time.Duration
	MeanInFlightTime time.Duration
	// Brittle is set if the endpoints of the service fall over if they reject too many requests. Members is the number of instances then.
	Brittle bool
	Members int
	// Connections bounds this instance's connections to each endpoint of the service.
	Connections limit.Connections
	// Bound is set if endpoints of the service are excluded because they run another software than the request requires.
	Bound bool
	// Tried are the endpoints to which this instance already sent the request.
	Tried []deployment.EndpointID
}

// Verdict is the result of a choice: that an endpoint was chosen, or why none was.
type Verdict int

// The verdicts of Choose.
const (
	// Chosen means that an endpoint was found.
	Chosen Verdict = iota
	// NoEndpoint means that no endpoint of the service that may run the request accepts requests.
	NoEndpoint
	// NotResident means that endpoints accept requests, but none holds the adapter.
	NotResident
	// Resting means that an endpoint could run the request, but asked this instance for a rest.
	Resting
	// Limited means that an endpoint could run the request, but accepts no more requests for now by the limit that it reports.
	Limited
	// Saturated means that an endpoint holds the adapter, but has too many requests in flight.
	Saturated
)

// Choose returns the endpoint for a request. Ejected endpoints are chosen only if no other endpoint can run the request, or for a
// trial; endpoints that asked for a rest, or whose limit allows no more requests, are never chosen.
func Choose(now time.Time, endpoints []*directory.EndpointStatus, required Requirement, options Options) (*directory.EndpointStatus, Verdict) {
	verdict := NoEndpoint
	var preferred, avoided []candidate
	for _, endpoint := range endpoints {
		if endpoint.State != deployment.Ready || !required.allowsEndpoint(endpoint) {
			continue
		}
		verdict = max(verdict, NotResident)
		if endpoint.ReportedUnreachable() && required.Request.UsesModel() {
			continue
		}
		if required.Request.UsesModel() && !endpoint.Holds(now, required.Request.Adapter, required.requiredVersion(now, endpoint)) {
			continue
		}
		if required.Request.UsesModel() && options.limitReached(&required, endpoint) {
			verdict = Saturated
			continue
		}
		if endpoint.IsResting(now) {
			verdict = max(verdict, Resting)
			continue
		}
		if !endpoint.Allowance.Admits(now) {
			verdict = max(verdict, Limited)
			continue
		}
		if !options.hasRoom(now, &required, endpoint) {
			verdict = Saturated
			continue
		}
		found := candidate{endpoint: endpoint, cost: cost(endpoint, required.Request, options)}
		if endpoint.Avoided(now) {
			avoided = append(avoided, found)
			continue
		}
		preferred = append(preferred, found)
	}
	if len(preferred) == 0 {
		preferred = avoided
	}
	if len(preferred) == 0 {
		return nil, verdict
	}
	return drawCandidate(preferred, unknownRequests(preferred, required.OthersAge, required.MeanInFlightTime), options.Random()), Chosen
}

// allowsEndpoint reports whether the request may be sent to an endpoint, considering its software and where the request was sent before.
func (r *Requirement) allowsEndpoint(endpoint *directory.EndpointStatus) bool {
	if !r.Request.MayRunAt(&endpoint.Endpoint) {
		return false
	}
	return r.Request.OnlyEndpoint != "" || !slices.Contains(r.Tried, endpoint.ID)
}

// limitReached reports whether an endpoint has too many requests in flight for one more. A stream that is resumed at its endpoint may exceed
// the limit: waiting requests would otherwise take the place that it had.
func (o *Options) limitReached(required *Requirement, endpoint *directory.EndpointStatus) bool {
	switch {
	case required.Request.OnlyEndpoint != "":
		return false
	case required.Bound:
		return o.ResumeLimit.Reached(endpoint)
	default:
		return o.Limit.Reached(endpoint)
	}
}

// hasRoom reports whether this instance may send a request to an endpoint as far as that must not reject too many, and accepts only so many
// connections. A stream that is resumed at its endpoint has had a place and a connection there.
func (o *Options) hasRoom(now time.Time, required *Requirement, endpoint *directory.EndpointStatus) bool {
	if required.Request.OnlyEndpoint != "" {
		return true
	}
	if !required.Connections.Admits(endpoint.OwnRequests, endpoint.OthersRequests) {
		return false
	}
	if !required.Brittle {
		return true
	}
	load := limit.Load{
		Places: o.places(required, endpoint), Own: endpoint.OwnRequests, Reported: endpoint.ReportedRequests, Others: endpoint.OthersRequests,
		OthersAge: required.OthersAge, Members: required.Members, InFlightTime: required.MeanInFlightTime,
	}
	return endpoint.Room.Admits(now, load, o.Random())
}

// places returns how many requests may be in flight at an endpoint. An endpoint with an unknown number of slots counts as having one.
func (o *Options) places(required *Requirement, endpoint *directory.EndpointStatus) int {
	switch {
	case !required.Request.UsesModel():
		return max(1, endpoint.Slots)
	case required.Bound:
		return max(1, o.ResumeLimit.Places(endpoint.Slots))
	default:
		return max(1, o.Limit.Places(endpoint.Slots))
	}
}

// requiredVersion returns the lowest version that may run the request at an endpoint. Older versions are not allowed if the wait at
// the endpoint is unknown, or if a longer wait would not become visible in time: the request might then run after the time during
// which older versions are allowed.
func (r *Requirement) requiredVersion(now time.Time, endpoint *directory.EndpointStatus) int64 {
	if r.Version == 0 || r.FormerWait <= 0 || !r.Request.StartIsVisible() {
		return r.Version
	}
	wait, known := endpoint.ExpectedWait(now, r.Request.Route.Priority, r.OthersKnown)
	if known && wait < r.FormerWait {
		return r.FormerVersion
	}
	return r.Version
}

// cost returns the load that a request would find at an endpoint, in requests in flight, including the penalty for crossing halls.
func cost(endpoint *directory.EndpointStatus, request *deployment.Request, options Options) float64 {
	cost := float64(endpoint.Load())
	if request.UsesModel() {
		cost += work.EquivalentRequests(endpoint.Backlog())
	}
	if endpoint.Hall == options.Hall {
		return cost
	}
	if request.UsesModel() {
		return cost + options.HallPenalty
	}
	return cost + options.PlainHallPenalty
}
