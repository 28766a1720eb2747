// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

const (
	// hallPenalty and plainHallPenalty are what crossing between halls weighs, for model and plain services, in requests in flight: higher
	// trades a longer queue for a shorter way.
	hallPenalty      = 1.0
	plainHallPenalty = 2.5
)

// Options are the settings of a choice.
type Options struct {
	// Hall is this instance's own; from the settings.
	Hall string
	// HallPenalty is how many requests in flight a crossing of halls weighs for services with models.
	HallPenalty float64
	// PlainHallPenalty is the same for plain services.
	PlainHallPenalty float64
	// Limit is the bound from which on an endpoint with models is saturated.
	Limit SlotLimit
	// Random gives a number from 0 up to 1, by which the endpoint is drawn.
	Random func() float64
}

// NewOptions gives the settings of an instance's choices.
func NewOptions(hall string, random func() float64) Options {
	return Options{Hall: hall, HallPenalty: hallPenalty, PlainHallPenalty: plainHallPenalty, Limit: RequestLimit(), Random: random}
}

// Requirement is what a request asks of an endpoint.
type Requirement struct {
	// Request is the caller's request, decoded from its head.
	Request *deployment.Request
	// Version is the lowest version of the adapter that may run the request, as named in the store; 0 allows any.
	Version int64
	// Former is the lowest older version that is allowed, 0 any, where the request is known to wait less than FormerWait in the
	// endpoint's own queue until it runs; with a FormerWait of 0, older versions are allowed nowhere.
	Former     int64
	FormerWait time.Duration
	// OthersKnown says that the others' requests in flight are those of a fresh view, so that none means none.
	OthersKnown bool
	// OthersAge is how old the others' counts are, Stay how long a request of the service is in flight: together they tell how much
	// the counts may have changed since.
	OthersAge time.Duration
	Stay      time.Duration
	// Tried are endpoints that were sent the request already, by this instance.
	Tried []deployment.EndpointID
}

// Verdict says why no endpoint was chosen.
type Verdict int

// The verdicts of a choice.
const (
	// Chosen: an endpoint was found.
	Chosen Verdict = iota
	// NoEndpoint: no endpoint of the service takes work.
	NoEndpoint
	// NotResident: endpoints take work, but none holds the adapter.
	NotResident
	// Resting: an endpoint could run it, but asked this instance for rest.
	Resting
	// Limited: an endpoint could run it, but takes no more requests for now, by the limit that it names.
	Limited
	// Saturated: an endpoint holds the adapter, but has too many requests in flight.
	Saturated
)

// Choose gives the endpoint for a request. Ejected endpoints are taken only where nothing
// else can run it, or for a trial; those that rest, or take no more requests by their limit, never.
func Choose(now time.Time, endpoints []*directory.EndpointStatus, required Requirement, options Options) (*directory.EndpointStatus, Verdict) {
	verdict := NoEndpoint
	var good, avoided []candidate
	for _, endpoint := range endpoints {
		if endpoint.State != deployment.Ready || !required.admits(endpoint.ID) {
			continue
		}
		verdict = max(verdict, NotResident)
		if endpoint.ReportedUnreachable() && required.Request.UsesModel() {
			continue
		}
		if required.Request.UsesModel() && !endpoint.Holds(now, required.Request.Adapter, required.versionAt(now, endpoint)) {
			continue
		}
		// A stream that goes on where it was takes the place that it had, which requests that waited would take first otherwise.
		if required.Request.UsesModel() && required.Request.OnlyEndpoint == "" && options.Limit.Reached(endpoint) {
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
		one := candidate{endpoint: endpoint, cost: cost(endpoint, required.Request, options)}
		if endpoint.Avoided(now) {
			avoided = append(avoided, one)
			continue
		}
		good = append(good, one)
	}
	if len(good) == 0 {
		good = avoided
	}
	if len(good) == 0 {
		return nil, verdict
	}
	return pick(good, unknownRequests(good, required.OthersAge, required.Stay), options.Random()), Chosen
}

// admits reports whether the request may be sent to an endpoint, by where it was sent before.
func (r *Requirement) admits(id deployment.EndpointID) bool {
	if r.Request.OnlyEndpoint != "" {
		return id == r.Request.OnlyEndpoint
	}
	return !slices.Contains(r.Tried, id)
}

// versionAt is the lowest version that may run the request at an endpoint. Where the wait there is not known, or nothing would show in
// time that it is longer, the request might run after the time of older versions is over: they are not allowed.
func (r *Requirement) versionAt(now time.Time, endpoint *directory.EndpointStatus) int64 {
	if r.Version == 0 || r.FormerWait <= 0 || !r.Request.StartIsVisible() {
		return r.Version
	}
	wait, known := endpoint.ExpectedWait(now, r.Request.Route.Priority, r.OthersKnown)
	if known && wait < r.FormerWait {
		return r.Former
	}
	return r.Version
}

// cost is what a request adds to at an endpoint, in requests in flight.
func cost(endpoint *directory.EndpointStatus, request *deployment.Request, options Options) float64 {
	cost := float64(endpoint.Load())
	if request.UsesModel() {
		cost += work.InRequests(endpoint.Backlog())
	}
	if endpoint.Hall == options.Hall {
		return cost
	}
	if request.UsesModel() {
		return cost + options.HallPenalty
	}
	return cost + options.PlainHallPenalty
}
