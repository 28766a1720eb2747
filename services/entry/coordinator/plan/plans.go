// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan

import (
	"iter"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/balance"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// Options are the settings of Plans.
type Options struct {
	// LoadWindow, LoadTolerance and LoadSlack limit the loads from the weight store.
	LoadWindow    time.Duration
	LoadTolerance float64
	LoadSlack     float64
	// Random returns a number in [0, 1).
	Random func() float64
	// OldestUsable returns the oldest version of an adapter on which requests may still begin; nil means that all versions may be used.
	OldestUsable func(now time.Time, adapter deployment.Adapter) int64
	// Term is the term of the planner.
	Term int64
	// TermStart is when the term started.
	TermStart time.Time
	// ExpectedFleetSize is the number of instances in the previous term; 0 if unknown.
	ExpectedFleetSize int
}

// joinTimeout is how long a new planner waits for the instances to report which copies their requests use before it unloads any
// copy. An endpoint accepts no other order while an unload waits for requests. A longer time covers more instances; a shorter one
// frees places earlier.
const joinTimeout = 800 * time.Millisecond

// Plans holds a plan for each service with engines. It is not safe for concurrent use.
type Plans struct {
	options       Options
	directory     *directory.Directory
	members       *member.Table
	configuration *deployment.Configuration
	planners      map[string]*loading.Planner
	// assumed are the loads that former planners may have started.
	assumed AssumedLoads
	changes Changes
	// ratesApplied are the instances whose arrival rates have been applied, apart from removed members.
	ratesApplied map[string]bool
	// usesKnown is set once the instances have reported which copies they use.
	usesKnown bool
	// withdrawals is the number of the last withdrawal announcement of all services.
	withdrawals uint64
	// ownSuspects are the endpoints that this instance itself suspects, as of the last review.
	ownSuspects map[deployment.EndpointID]bool
}

// termShift is the number of bits below the term in the numbers of withdrawals. The numbers of a later term are thus higher than
// all numbers of earlier terms, as long as a term withdraws fewer than 2^32 copies.
const termShift = 32

// New returns plans over a directory and a table of members, whose later changes they see. assumed are the loads that former
// planners may have started.
func New(options Options, known *directory.Directory, members *member.Table, assumed AssumedLoads) *Plans {
	return &Plans{
		options: options, directory: known, members: members, assumed: assumed,
		ratesApplied: make(map[string]bool),
		withdrawals:  uint64(options.Term) << termShift,
		ownSuspects:  make(map[deployment.EndpointID]bool),
		planners:     make(map[string]*loading.Planner), changes: Changes{Endpoints: make(map[deployment.EndpointID]bool)},
	}
}

// SetConfiguration creates a plan for each new service with engines, which starts with the known endpoints, and drops the plans of
// services that were removed or have no engines any more.
func (p *Plans) SetConfiguration(now time.Time, configuration *deployment.Configuration, versions iter.Seq2[deployment.Adapter, int64]) {
	p.configuration = configuration
	for name, service := range configuration.Services {
		if service.Engine == nil {
			continue
		}
		if planner, ok := p.planners[name]; ok {
			planner.SetEngine(*service.Engine)
			continue
		}
		p.planners[name] = p.newPlanner(*service.Engine)
		p.addKnownEndpoints(now, name)
	}
	for name, planner := range p.planners {
		if service := configuration.Services[name]; service == nil || service.Engine == nil {
			p.assumeLoadsOf(now, planner)
			delete(p.planners, name)
		}
	}
	for adapter, version := range versions {
		p.SetVersion(now, adapter, version)
	}
}

// addKnownEndpoints adds the known endpoints of a service to its new plan, with the copies that they held before.
func (p *Plans) addKnownEndpoints(now time.Time, service string) {
	for _, status := range p.directory.Service(service) {
		p.SetEndpoint(now, status.Endpoint, status.Revision)
		p.planners[service].RememberHeld(status.ID, status.Held)
	}
}

func (p *Plans) newPlanner(engine deployment.Engine) *loading.Planner {
	planner := loading.NewPlanner(engine, loading.Options{
		Rate: loading.RateOptions{
			PerSecond: engine.LoadsPerSecond, Window: p.options.LoadWindow, Tolerance: p.options.LoadTolerance, Slack: p.options.LoadSlack,
		},
		Random:               p.options.Random,
		Uses:                 p.uses,
		OldestUsable:         p.options.OldestUsable,
		NextWithdrawalNumber: p.nextWithdrawal,
	})
	planner.AssumeLoads(p.assumed.At, p.assumed.Count)
	return planner
}

// knowsUses reports whether the instances have had time to report which copies their requests use.
func (p *Plans) knowsUses(now time.Time) bool {
	if p.usesKnown {
		return true
	}
	allJoined := p.options.ExpectedFleetSize > 0 && p.members.FleetSize() >= p.options.ExpectedFleetSize
	p.usesKnown = allJoined || now.Sub(p.options.TermStart) >= joinTimeout
	return p.usesKnown
}

// uses returns the number of requests in flight that use a copy, according to the last reports of all instances.
func (p *Plans) uses(id deployment.EndpointID, adapter deployment.Adapter) int {
	uses := p.members.Uses(wire.Copy{ID: id, Model: adapter.Model, Name: adapter.Name})
	if status := p.directory.Endpoint(id); status != nil {
		uses += status.OwnByAdapter[adapter]
	}
	return uses
}

// SetVersion sets the version that operators named for an adapter.
func (p *Plans) SetVersion(now time.Time, adapter deployment.Adapter, version int64) {
	for name, planner := range p.planners {
		if p.hasModel(name, adapter.Model) {
			planner.SetVersion(now, adapter, version)
		}
	}
}

func (p *Plans) hasModel(service, model string) bool {
	if p.configuration == nil || p.configuration.Services[service] == nil || p.configuration.Services[service].Engine == nil {
		return false
	}
	for _, configured := range p.configuration.Services[service].Engine.Models {
		if configured.Name == model {
			return true
		}
	}
	return false
}

// SetEndpoint passes a description to the plan of the endpoint's service and marks the endpoint as changed for the next view.
func (p *Plans) SetEndpoint(now time.Time, endpoint deployment.Endpoint, revision int64) {
	p.changes.Endpoints[endpoint.ID] = true
	planner, ok := p.planners[endpoint.Service]
	if !ok {
		return
	}
	planner.SetEndpoint(now, endpoint, revision, p.isSuspect(now, endpoint.ID))
	p.publish(endpoint.ID, planner)
}

// RemoveEndpoint removes an endpoint that no longer exists as of a revision from the plans.
func (p *Plans) RemoveEndpoint(id deployment.EndpointID, revision int64) {
	for _, planner := range p.planners {
		planner.RemoveEndpoint(id)
	}
	delete(p.ownSuspects, id)
	delete(p.changes.Endpoints, id)
	p.changes.Removed = append(p.changes.Removed, wire.RemovedEndpoint{ID: id, Revision: revision})
}

// publish stores the copies on offer, according to the plan, in the directory of this instance and marks the endpoint as changed.
func (p *Plans) publish(id deployment.EndpointID, planner *loading.Planner) {
	models, adapters := planner.Offered(id)
	p.directory.SetOffered(id, models, adapters)
	p.changes.Endpoints[id] = true
}

// isSuspect reports whether enough instances suspect an endpoint.
func (p *Plans) isSuspect(now time.Time, id deployment.EndpointID) bool {
	status := p.directory.Endpoint(id)
	return p.members.IsSuspect(id, status != nil && isOwnSuspect(now, status))
}

// isOwnSuspect reports whether this instance itself suspects an endpoint.
func isOwnSuspect(now time.Time, status *directory.EndpointStatus) bool {
	return status.Health.Ejected(now) || status.IsResting(now)
}

// reviewOwnSuspicion applies that this instance itself has begun or ceased to suspect an endpoint.
func (p *Plans) reviewOwnSuspicion(now time.Time, status *directory.EndpointStatus) {
	suspect := isOwnSuspect(now, status)
	if suspect == p.ownSuspects[status.ID] {
		return
	}
	delete(p.ownSuspects, status.ID)
	if suspect {
		p.ownSuspects[status.ID] = true
	}
	p.refreshSuspicion(now, status.ID)
}

// Sweep removes outdated state of the service plans.
func (p *Plans) Sweep(now time.Time) {
	for _, planner := range p.planners {
		planner.Sweep(now)
	}
}

// Review updates the lost members, the copies that are no longer used, and the load of each endpoint. silence is the time without a
// report after which a member counts as lost.
func (p *Plans) Review(now time.Time, silence time.Duration) {
	p.members.DropLost(now, silence, p.removeInstance)
	for _, planner := range p.planners {
		if p.knowsUses(now) {
			planner.ConfirmUnused(now, p.unused)
		}
	}
	for id, status := range p.directory.Endpoints() {
		p.reviewOwnSuspicion(now, status)
		if planner, ok := p.planners[status.Service]; ok {
			limited := status.Allowance.HasLimit() && !p.allEndpointsLimited(status.Service)
			planner.SetBacklog(id, status.Backlog(), status.Speed)
			planner.SetFull(id, balance.ResumeLimit().Reached(status))
			planner.SetSaturation(id, limited || balance.CopyLimit().Reached(status), limited || balance.RequestLimit().Reached(status))
		}
	}
}

// allEndpointsLimited reports whether each ready endpoint of a service has a limit on requests. Only then are copies loaded on endpoints
// with a limit.
func (p *Plans) allEndpointsLimited(service string) bool {
	return !slices.ContainsFunc(p.directory.Service(service), func(status *directory.EndpointStatus) bool {
		return status.State == deployment.Ready && !status.Allowance.HasLimit()
	})
}

func (p *Plans) removeInstance(instance string) {
	for _, planner := range p.planners {
		planner.ForgetInstance(instance)
	}
}

// unused reports whether no instance uses a copy whose withdrawal was announced.
func (p *Plans) unused(withdrawn loading.Withdrawal) bool {
	adapter := withdrawn.Adapter
	if status := p.directory.Endpoint(withdrawn.Endpoint); status != nil && status.OwnByAdapter[adapter] > 0 {
		return false
	}
	return p.members.IsUnused(wire.Copy{ID: withdrawn.Endpoint, Model: adapter.Model, Name: adapter.Name}, withdrawn.Number, withdrawn.Age)
}

// Order calls start for each order that is due, as long as mayOrder returns true, and publishes the changes. It calls begun for
// each adapter load that starts and is no replacement, with the expected duration.
func (p *Plans) Order(now time.Time, mayOrder func() bool, start func(loading.Order), begun func(deployment.ServiceAdapter, time.Duration)) {
	for _, planner := range p.planners {
		for mayOrder() {
			order, ok := planner.Next(now)
			if !ok {
				break
			}
			if order.Kind == loading.Load && !order.Poll && !order.IsReplacement() {
				p.recordStart(order, planner.TypicalLoadTime(), begun)
			}
			start(order)
		}
		for _, id := range planner.TakeChanges() {
			p.publish(id, planner)
		}
	}
}

// recordStart records the start of a load for the next view. Loads of base models are only counted there.
func (p *Plans) recordStart(order loading.Order, remaining time.Duration, begun func(deployment.ServiceAdapter, time.Duration)) {
	if order.Adapter.IsZero() {
		p.changes.BaseModelLoadStarted = true
		return
	}
	key := deployment.ServiceAdapter{Service: order.Endpoint.Service, Adapter: order.Adapter}
	begun(key, remaining)
	p.changes.StartedLoads = append(p.changes.StartedLoads, wire.Forecast{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name, Remaining: remaining})
}

// Done applies the result of an order, unless the service is no longer planned.
func (p *Plans) Done(now time.Time, result loading.Result) {
	if planner, ok := p.planners[result.Order.Endpoint.Service]; ok {
		planner.Done(now, result)
	}
}

// HasService reports whether a service is planned.
func (p *Plans) HasService(service string) bool {
	return p.planners[service] != nil
}

// NextPoll returns when the first of all loads under way is expected to end. It returns false if there is none, or if that time is
// more than limit after now.
func (p *Plans) NextPoll(now time.Time, limit time.Duration) (time.Time, bool) {
	var earliest time.Time
	for _, planner := range p.planners {
		next := planner.NextPoll()
		if !next.IsZero() && (earliest.IsZero() || next.Before(earliest)) {
			earliest = next
		}
	}
	if earliest.IsZero() || earliest.Sub(now) > limit {
		return time.Time{}, false
	}
	return earliest, true
}

// Withdrawals returns the number of the last withdrawal announcement of all services. A member that has seen it has seen all
// earlier ones.
func (p *Plans) Withdrawals() uint64 {
	return p.withdrawals
}

// nextWithdrawal returns the number of a new withdrawal announcement. The plans of all services share the sequence.
func (p *Plans) nextWithdrawal() uint64 {
	p.withdrawals++
	return p.withdrawals
}
