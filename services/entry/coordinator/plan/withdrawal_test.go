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
	"github.com/shelfledge/shelfledge/services/entry/coordinator/plan"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// addService adds a second service whose endpoint holds the same base model.
func (f *fixture) addService(now time.Time) {
	f.directory.Put(deployment.Endpoint{
		ID: "e2", Service: otherService, Slots: 16, Models: []string{"base"}, CachedModels: []string{"base"}, Adapters: map[deployment.Adapter]int64{},
	}, 6)
	both := configuration("base")
	both.Services[otherService] = &deployment.Service{Name: otherService, Engine: both.Services[service].Engine}
	f.plans.SetConfiguration(now, both, maps.All(map[deployment.Adapter]int64{}))
}

// pause is longer than the pause after a search for loads without result.
const pause = 100 * time.Millisecond

// load has a service load an adapter for a demand that then ends, and returns a later time.
func (f *fixture) load(now time.Time, service, name string) time.Time {
	demand := wire.Demand{Service: service, Model: "base", Name: name, Waiting: 1, InTime: time.Second}
	f.plans.ApplyDemand(now, &wire.Report{Instance: "a", Demands: []wire.Demand{demand}})
	f.order(now)
	f.plans.ApplyDemand(now, &wire.Report{Instance: "a"})
	return now.Add(pause)
}

// withdraw names a newer version of an adapter, so that its copies are withdrawn, and returns a later time.
func (f *fixture) withdraw(now time.Time, name string) time.Time {
	f.plans.SetVersion(now, deployment.Adapter{Model: "base", Name: name}, newVersion)
	f.order(now)
	return now.Add(pause)
}

// newVersion is a later version than the one that endpoints hold.
const newVersion = 7

// unloads returns the number of unload orders.
func (f *fixture) unloads() int {
	count := 0
	for _, order := range f.ordered {
		if order.Kind == loading.Unload {
			count++
		}
	}
	return count
}

// TestCopyIsKeptUntilWithdrawalOfItsServiceIsSeen has one service withdraw copies before another service does. Members that have
// seen the withdrawals of the first service have not seen the one of the second.
func TestCopyIsKeptUntilWithdrawalOfItsServiceIsSeen(t *testing.T) {
	f := newFixture()
	f.addService(start)
	f.members.Join("a", nil)
	now := start
	for _, name := range []string{"a1", "a2", "a3"} {
		now = f.withdraw(f.load(now, service, name), name)
	}
	seen := f.plans.Withdrawals()
	require.NotZero(t, seen)
	now = f.load(now, otherService, "a9")
	f.acknowledge(now, seen)
	before := f.unloads()

	now = f.withdraw(now.Add(pause), "a9")
	require.NotContains(t, f.directory.Endpoint("e2").Offered, deployment.Adapter{Model: "base", Name: "a9"})
	f.acknowledge(now, seen)
	assert.Equal(t, before, f.unloads(), "a member may still use the copy")
	assert.Greater(t, f.plans.Withdrawals(), seen, "members are asked to acknowledge")
	f.acknowledge(now, f.plans.Withdrawals())
	assert.Equal(t, before+1, f.unloads())
}

// acknowledge applies the withdrawal number that the only member has seen, and starts the resulting orders.
func (f *fixture) acknowledge(now time.Time, seen uint64) {
	f.plans.ApplyMemberReport(now, &wire.Report{Instance: "a", WithdrawalsSeen: seen})
	f.plans.Review(now, silence)
	f.order(now)
}

// TestWithdrawalOfFormerTermIsNoAcknowledgement has a member report what it saw of the former planner before it has a view of the
// present one.
func TestWithdrawalOfFormerTermIsNoAcknowledgement(t *testing.T) {
	const adapters = 3
	former, present := newFixtureOfTerm(4), newFixtureOfTerm(5)
	now := start
	for _, name := range []string{"a1", "a2", "a3"} {
		now = former.withdraw(former.load(now, service, name), name)
	}
	require.GreaterOrEqual(t, former.plans.Withdrawals(), former.first+adapters)
	present.members.Join("a", nil)
	now = present.withdraw(present.load(now, service, "a1"), "a1")
	require.Empty(t, present.directory.Endpoint("e1").Offered)
	present.acknowledge(now, former.plans.Withdrawals())
	assert.Zero(t, present.unloads(), "the member has not seen this planner's withdrawal")
	present.acknowledge(now, present.plans.Withdrawals())
	assert.Equal(t, 1, present.unloads())
}

// TestNewPlannerDelaysUnloadsUntilUsesAreKnown guards against the unload of copies in use after a change of planners, when the
// instances that use them have not found the new planner yet.
func TestNewPlannerDelaysUnloadsUntilUsesAreKnown(t *testing.T) {
	for name, test := range map[string]struct {
		expected int
		joined   []string
		after    time.Duration
		unloads  int
	}{
		"no member, just before the timeout":     {3, nil, 800*time.Millisecond - 1, 0},
		"no member, at the timeout":              {3, nil, 800 * time.Millisecond, 1},
		"one of two members":                     {3, []string{"a"}, 700 * time.Millisecond, 0},
		"both members":                           {3, []string{"a", "b"}, 700 * time.Millisecond, 1},
		"unknown fleet size, before the timeout": {0, []string{"a", "b"}, 700 * time.Millisecond, 0},
		"unknown fleet size, after the timeout":  {0, nil, time.Second, 1},
		"planner alone before and now":           {1, nil, 300 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWith(plan.Options{Term: 2, TermStart: start, ExpectedFleetSize: test.expected})
			f.withdraw(f.load(start, service, "a1"), "a1")
			for _, member := range test.joined {
				f.members.Join(member, nil)
				f.plans.ApplyMemberReport(start.Add(test.after), &wire.Report{Instance: member, WithdrawalsSeen: f.plans.Withdrawals()})
			}
			now := start.Add(test.after)
			f.plans.Review(now, silence)
			f.order(now)
			assert.Equal(t, test.unloads, f.unloads())
		})
	}
}
