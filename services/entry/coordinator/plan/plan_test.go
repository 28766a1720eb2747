// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/plan"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	service = "chat"
	silence = 1500 * time.Millisecond
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapter = deployment.Adapter{Model: "base", Name: "a1"}
	key     = deployment.ServiceAdapter{Service: service, Adapter: adapter}
)

// fixture is the plan of one service with one endpoint.
type fixture struct {
	plans     *plan.Plans
	directory *directory.Directory
	members   *member.Table
	// ordered are the started orders, begun the announced loads with their expected duration.
	ordered  []loading.Order
	begun    map[deployment.ServiceAdapter]time.Duration
	mayOrder bool
	// first is the number of the last withdrawal before the first of this term.
	first uint64
}

func configuration(models ...string) *deployment.Configuration {
	engine := &deployment.Engine{Slots: 16, AdapterCapacity: 4, LoadsPerSecond: 50}
	for _, name := range models {
		engine.Models = append(engine.Models, deployment.Model{Name: name})
	}
	return deployment.NewConfiguration(1, nil, map[string]*deployment.Service{
		service: {Name: service, Engine: engine}, "plain": {Name: "plain"},
	}, deployment.Limits{})
}

func newFixture() *fixture {
	return newFixtureOfTerm(1)
}

func newFixtureOfTerm(term int64) *fixture {
	return newFixtureWith(plan.Options{Term: term})
}

// newFixtureWith returns a fixture with the given options of the term.
func newFixtureWith(options plan.Options) *fixture {
	options.LoadWindow, options.LoadTolerance, options.LoadSlack = time.Second, 1, 10
	options.Random = func() float64 { return 0.5 }
	f := &fixture{directory: directory.New(), members: member.NewTable(), begun: make(map[deployment.ServiceAdapter]time.Duration), mayOrder: true}
	f.plans = plan.New(options, f.directory, f.members, plan.AssumedLoads{})
	f.first = f.plans.Withdrawals()
	f.directory.Put(deployment.Endpoint{
		ID: "e1", Service: service, Slots: 16, Models: []string{"base"}, CachedModels: []string{"base"}, Adapters: map[deployment.Adapter]int64{},
	}, 5)
	f.plans.SetConfiguration(start, configuration("base"), maps.All(map[deployment.Adapter]int64{}))
	return f
}

// order plans until no more orders are due. The endpoint answers inspections and accepts loads at once.
func (f *fixture) order(now time.Time) {
	for {
		var started []loading.Order
		f.plans.Order(now, func() bool { return f.mayOrder }, func(order loading.Order) { started = append(started, order) },
			func(key deployment.ServiceAdapter, until time.Duration) { f.begun[key] = until })
		if len(started) == 0 {
			return
		}
		f.ordered = append(f.ordered, started...)
		for _, order := range started {
			result := loading.Result{Order: order, Reply: loading.Holds, Took: time.Millisecond}
			if order.Kind == loading.Inspect {
				result.Reply = loading.Inspected
				result.Report = &loading.Report{Models: []string{"base"}, Adapters: map[deployment.Adapter]int64{}}
			}
			f.plans.Done(now, result)
		}
	}
}

func (f *fixture) loads() (list []deployment.Adapter) {
	for _, order := range f.ordered {
		if order.Kind == loading.Load && !order.Adapter.IsZero() {
			list = append(list, order.Adapter)
		}
	}
	return list
}

func demandReport() *wire.Report {
	return &wire.Report{Instance: "a", Demands: []wire.Demand{{Service: service, Model: "base", Name: "a1", Waiting: 1, InTime: time.Second}}}
}

func TestDemandedAdapterIsLoadedAnnouncedAndOffered(t *testing.T) {
	f := newFixture()
	assert.True(t, f.plans.HasService(service))
	assert.False(t, f.plans.HasService("plain"), "a service without engines needs no plan")
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Equal(t, []deployment.Adapter{adapter}, f.loads())
	assert.Contains(t, f.begun, key)
	assert.Contains(t, f.directory.Endpoint("e1").Offered, adapter)

	changes := f.plans.Changes()
	assert.False(t, changes.Empty())
	assert.True(t, changes.Endpoints["e1"])
	begun := changes.StartedLoads
	require.Len(t, begun, 1)
	assert.Equal(t, key, begun[0].Key())
	assert.Equal(t, f.begun[key], begun[0].Remaining)
	f.plans.MarkSent()
	assert.Empty(t, f.plans.Changes().StartedLoads, "sent once")
	assert.True(t, f.plans.Changes().Empty())
	assert.Zero(t, f.plans.RecentLoads(start), "only base models count")
}

func TestStartedLoadsAreChangesUntilViewIsSent(t *testing.T) {
	f := newFixture()
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	for range 2 {
		begun := f.plans.Changes().StartedLoads
		require.Len(t, begun, 1, "reading the changes keeps them")
		assert.Equal(t, key, begun[0].Key())
	}
	f.plans.MarkSent()
	assert.Empty(t, f.plans.Changes().StartedLoads)
	assert.True(t, f.plans.Changes().Empty())
}

func TestRepeatedReportDoesNotRepeatLoad(t *testing.T) {
	f := newFixture()
	f.plans.ApplyDemand(start, demandReport())
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Len(t, f.loads(), 1)
}

func TestNoOrdersWithoutLease(t *testing.T) {
	f := newFixture()
	f.mayOrder = false
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Empty(t, f.ordered)
	f.mayOrder = true
	f.order(start)
	assert.NotEmpty(t, f.loads())
}

func TestDemandOfLostInstanceIsNotLoaded(t *testing.T) {
	f := newFixture()
	f.members.Join("a", nil)
	f.plans.ApplyMemberReport(start, demandReport())
	f.plans.ApplyDemand(start, demandReport())
	f.plans.Review(start.Add(silence+time.Millisecond), silence)
	f.order(start.Add(silence + time.Millisecond))
	assert.Empty(t, f.loads())
}

func TestLateOrderResultOfRemovedServiceIsIgnored(t *testing.T) {
	f := newFixture()
	f.plans.ApplyDemand(start, demandReport())
	var started []loading.Order
	f.plans.Order(start, func() bool { return true }, func(order loading.Order) { started = append(started, order) }, func(deployment.ServiceAdapter, time.Duration) {})
	require.NotEmpty(t, started)
	none := deployment.NewConfiguration(2, nil, map[string]*deployment.Service{}, deployment.Limits{})
	f.plans.SetConfiguration(start, none, maps.All(map[deployment.Adapter]int64{}))
	assert.False(t, f.plans.HasService(service))
	f.plans.Done(start, loading.Result{Order: started[0], Reply: loading.Holds})
	f.order(start)
	assert.Empty(t, f.loads())
}

func TestRemovedEndpointIsAnnounced(t *testing.T) {
	f := newFixture()
	f.plans.MarkSent()
	f.plans.SetEndpoint(start, f.directory.Endpoint("e1").Endpoint, 6)
	f.directory.Remove("e1", 7)
	f.plans.RemoveEndpoint("e1", 7)
	changes := f.plans.Changes()
	assert.Empty(t, changes.Endpoints)
	assert.Equal(t, []wire.RemovedEndpoint{{ID: "e1", Revision: 7}}, changes.Removed)
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Empty(t, f.ordered)
}

func TestEndpointSuspectedByTwoInstancesGetsNoLoads(t *testing.T) {
	f := newFixture()
	bad := []deployment.EndpointID{"e1"}
	f.members.Join("a", nil)
	f.members.Join("b", nil)
	assert.True(t, f.plans.ApplyMemberReport(start, &wire.Report{Instance: "a", Suspects: bad}))
	assert.True(t, f.plans.ApplyMemberReport(start, &wire.Report{Instance: "b", Suspects: bad}))
	assert.False(t, f.plans.ApplyMemberReport(start, &wire.Report{Instance: "self", Suspects: bad}), "the planner itself is not a member")
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Empty(t, f.loads())
	later := start.Add(500 * time.Millisecond)
	f.plans.ApplyMemberReport(later, &wire.Report{Instance: "b"})
	f.order(later)
	assert.Len(t, f.loads(), 1, "one suspicion of three instances is not enough")
}

// TestPlannerAppliesItsOwnSuspicion guards against a planner that ejects an endpoint and still counts the copies there until it is described again.
func TestPlannerAppliesItsOwnSuspicion(t *testing.T) {
	f := newFixture()
	f.directory.MarkEnded(start, "e1")
	f.plans.Review(start, time.Second)
	f.plans.ApplyDemand(start, demandReport())
	f.order(start)
	assert.Empty(t, f.loads(), "the only instance suspects the endpoint")
	later := start.Add(time.Minute)
	f.plans.Review(later, time.Second)
	f.order(later)
	assert.Len(t, f.loads(), 1, "the ejection is over")
}

// TestSuspicionOfRemovedEndpointIsNotKept guards against a planner that takes its suspicion of a removed endpoint for one of the next
// incarnation under the same ID, and so does not apply the latter.
func TestSuspicionOfRemovedEndpointIsNotKept(t *testing.T) {
	for _, suspectAgain := range []bool{false, true} {
		f := newFixture()
		described := f.directory.Endpoint("e1").Endpoint
		f.directory.MarkEnded(start, "e1")
		f.plans.Review(start, time.Second)
		f.directory.Remove("e1", 7)
		f.plans.RemoveEndpoint("e1", 7)
		f.plans.Sweep(start)
		later := start.Add(time.Minute)
		f.plans.Sweep(later)
		require.True(t, f.directory.Put(described, 8))
		f.plans.SetEndpoint(later, described, 8)
		if suspectAgain {
			f.directory.MarkEnded(later, "e1")
		}
		f.plans.Review(later, time.Second)
		f.plans.ApplyDemand(later, demandReport())
		f.order(later)
		assert.Equal(t, suspectAgain, len(f.loads()) == 0, "suspect again: %v", suspectAgain)
	}
}

func TestFullEndpointGetsNoNewCopies(t *testing.T) {
	for inFlight, loads := range map[int]int{9: 1, 10: 0, 11: 0} {
		f := newFixture()
		for range inFlight {
			f.directory.Begin(start, "e1", &deployment.Request{Adapter: deployment.Adapter{Model: "base"}})
		}
		f.plans.ApplyDemand(start, demandReport())
		f.plans.Review(start, silence)
		f.order(start)
		assert.Len(t, f.loads(), loads, "%d of 16 slots", inFlight)
	}
}

func TestForecastsContainBacklogOfEachService(t *testing.T) {
	f := newFixture()
	loads, backlogs := f.plans.Forecasts(start)
	assert.Empty(t, loads)
	assert.Contains(t, backlogs, service)
	_, waits := f.plans.NextPoll(start, time.Hour)
	assert.False(t, waits, "no load is under way")
	assert.Equal(t, f.first, f.plans.Withdrawals(), "nothing was withdrawn")
}
