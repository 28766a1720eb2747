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
	// LoadWindow, LoadTolerance and LoadSlack bound loads from the weight store.
	LoadWindow    time.Duration
	LoadTolerance float64
	LoadSlack     float64
	// Random gives a number from 0 up to 1.
	Random func() float64
	// Term is the planner's.
	Term int64
	// Begun is when the term began.
	Begun time.Time
	// ExpectedFleet is the number of instances that took part in the term before, 0 if that is not known.
	ExpectedFleet int
}

// joinTime is how long a new planner waits for the instances to tell which copies their requests use, before it has any copy unloaded: an
// endpoint takes no other order while an unload waits for requests. Longer hears of all, shorter makes room sooner.
const joinTime = 800 * time.Millisecond

// Plans holds a plan for each service with engines; it is not safe for concurrent use.
type Plans struct {
	options       Options
	directory     *directory.Directory
	members       *member.Table
	configuration *deployment.Configuration
	planners      map[string]*loading.Planner
	// assumed are the loads that former planners may have begun.
	assumed AssumedLoads
	changes Changes
	// rated are the instances whose arrival rates were taken in; members that are forgotten are left out.
	rated map[string]bool
	// usesKnown is set once the instances have told which copies they use.
	usesKnown bool
	// withdrawals is the number of the last announcement of a withdrawal, of all services.
	withdrawals uint64
}

// termShift is by how many bits the term stands above the count in the numbers of withdrawals, so that those of a later
// term are above all of the earlier ones: a term withdraws fewer than 2^32 copies.
const termShift = 32

// New makes plans over a directory and members, whose changes it sees; assumed are the loads that former planners may have
// begun.
func New(options Options, known *directory.Directory, members *member.Table, assumed AssumedLoads) *Plans {
	return &Plans{
		options: options, directory: known, members: members, assumed: assumed,
		rated:       make(map[string]bool),
		withdrawals: uint64(options.Term) << termShift,
		planners:    make(map[string]*loading.Planner), changes: Changes{Endpoints: make(map[deployment.EndpointID]bool)},
	}
}

// SetConfiguration makes a plan for each service with engines, which begins with the endpoints that are known, and
// ends those of services that are gone or have no engines any more.
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
		p.introduceEndpoints(now, name)
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

// introduceEndpoints tells a new plan of its endpoints and of what they held before.
func (p *Plans) introduceEndpoints(now time.Time, service string) {
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
		Random:         p.options.Random,
		Uses:           p.uses,
		NextWithdrawal: p.nextWithdrawal,
	})
	planner.AssumeLoads(p.assumed.At, p.assumed.Count)
	return planner
}

// knowsUses tells whether the instances have had time to tell which copies their requests use.
func (p *Plans) knowsUses(now time.Time) bool {
	if p.usesKnown {
		return true
	}
	allJoined := p.options.ExpectedFleet > 0 && p.members.Fleet() >= p.options.ExpectedFleet
	p.usesKnown = allJoined || now.Sub(p.options.Begun) >= joinTime
	return p.usesKnown
}

// uses gives the requests in flight that use a copy, by all instances' last reports.
func (p *Plans) uses(id deployment.EndpointID, adapter deployment.Adapter) int {
	uses := p.members.Uses(wire.Copy{ID: id, Model: adapter.Model, Name: adapter.Name})
	if status := p.directory.Endpoint(id); status != nil {
		uses += status.OwnByAdapter[adapter]
	}
	return uses
}

// SetVersion takes in the version of an adapter that operators named.
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

// SetEndpoint passes a description on to its service's plan and marks it for the next view.
func (p *Plans) SetEndpoint(now time.Time, endpoint deployment.Endpoint, revision int64) {
	p.changes.Endpoints[endpoint.ID] = true
	planner, ok := p.planners[endpoint.Service]
	if !ok {
		return
	}
	planner.SetEndpoint(now, endpoint, revision, p.bad(now, endpoint.ID))
	p.publish(endpoint.ID, planner)
}

// RemoveEndpoint ends what is planned for an endpoint that was gone at a revision.
func (p *Plans) RemoveEndpoint(id deployment.EndpointID, revision int64) {
	for _, planner := range p.planners {
		planner.RemoveEndpoint(id)
	}
	delete(p.changes.Endpoints, id)
	p.changes.Removed = append(p.changes.Removed, wire.Gone{ID: id, Revision: revision})
}

// publish makes the plan's copies this instance's own view of an endpoint.
func (p *Plans) publish(id deployment.EndpointID, planner *loading.Planner) {
	models, adapters := planner.Offered(id)
	p.directory.SetOffered(id, models, adapters)
	p.changes.Endpoints[id] = true
}

// bad tells whether an endpoint is bad for more than one instance, or for the only one.
func (p *Plans) bad(now time.Time, id deployment.EndpointID) bool {
	status := p.directory.Endpoint(id)
	return p.members.Bad(id, status != nil && (status.Health.Ejected(now) || status.IsResting(now)))
}

// Sweep forgets what is too old to matter.
func (p *Plans) Sweep(now time.Time) {
	for _, planner := range p.planners {
		planner.Sweep(now)
	}
}

// Review looks again at what each endpoint has to do, which members are lost, and which copies nobody uses any
// more. silence is after how long a member counts as lost.
func (p *Plans) Review(now time.Time, silence time.Duration) {
	p.members.DropLost(now, silence, p.forgetInstance)
	for _, planner := range p.planners {
		if p.knowsUses(now) {
			planner.ConfirmUnused(now, p.unused)
		}
	}
	for id, status := range p.directory.Endpoints() {
		if planner, ok := p.planners[status.Service]; ok {
			limited := status.Allowance.Binds() && !p.allLimited(status.Service)
			planner.SetBacklog(id, status.Backlog(), status.Speed)
			planner.SetSaturation(id, limited || balance.CopyLimit().Reached(status), limited || balance.RequestLimit().Reached(status))
		}
	}
}

// allLimited tells whether no endpoint of a service takes requests without a limit: copies go to those with one only then.
func (p *Plans) allLimited(service string) bool {
	return !slices.ContainsFunc(p.directory.Service(service), func(status *directory.EndpointStatus) bool {
		return status.State == deployment.Ready && !status.Allowance.Binds()
	})
}

func (p *Plans) forgetInstance(instance string) {
	for _, planner := range p.planners {
		planner.ForgetInstance(instance)
	}
}

// unused tells whether no instance uses a copy whose withdrawal was announced.
func (p *Plans) unused(withdrawn loading.Withdrawal) bool {
	adapter := withdrawn.Adapter
	if status := p.directory.Endpoint(withdrawn.Endpoint); status != nil && status.OwnByAdapter[adapter] > 0 {
		return false
	}
	return p.members.Unused(wire.Copy{ID: withdrawn.Endpoint, Model: adapter.Model, Name: adapter.Name}, withdrawn.Number, withdrawn.Age)
}

// Order gives what is to be ordered now to start, as long as mayOrder says so, and publishes what changed. begun
// is called for each adapter whose load starts, and how long it is expected to take.
func (p *Plans) Order(now time.Time, mayOrder func() bool, start func(loading.Order), begun func(deployment.ServiceAdapter, time.Duration)) {
	for _, planner := range p.planners {
		for mayOrder() {
			order, ok := planner.Next(now)
			if !ok {
				break
			}
			if order.Kind == loading.Load && !order.Poll {
				p.noteBegun(order, planner.LoadTime(), begun)
			}
			start(order)
		}
		for _, id := range planner.TakeChanges() {
			p.publish(id, planner)
		}
	}
}

// noteBegun lets the next view tell that a load has begun; base models' loads are told by their number only.
func (p *Plans) noteBegun(order loading.Order, remaining time.Duration, begun func(deployment.ServiceAdapter, time.Duration)) {
	if order.Adapter.IsZero() {
		p.changes.ModelBegun = true
		return
	}
	key := deployment.ServiceAdapter{Service: order.Endpoint.Service, Adapter: order.Adapter}
	begun(key, remaining)
	p.changes.Begun = append(p.changes.Begun, wire.Forecast{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name, Remaining: remaining})
}

// Done takes in the end of an order of a service that is planned.
func (p *Plans) Done(now time.Time, result loading.Result) {
	if planner, ok := p.planners[result.Order.Endpoint.Service]; ok {
		planner.Done(now, result)
	}
}

// Has tells whether a service is planned.
func (p *Plans) Has(service string) bool {
	return p.planners[service] != nil
}

// NextPoll is when the first of all loads under way is expected to have ended, at most a limit after now; false if none
// is.
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

// Withdrawals is the number of the last announcement of a withdrawal, of all services: who has seen it has seen all before.
func (p *Plans) Withdrawals() uint64 {
	return p.withdrawals
}

// nextWithdrawal numbers an announcement of a withdrawal; the planners of all services share the count.
func (p *Plans) nextWithdrawal() uint64 {
	p.withdrawals++
	return p.withdrawals
}
