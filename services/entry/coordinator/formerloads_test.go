// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

const (
	// manyLoads is more base-model loads than the weight store's bound permits in any window of these tests.
	manyLoads = 1 << 20
	// longWindow is longer than any test.
	longWindow = 10 * time.Minute
	// noLoadTime is how long the tests check that nothing is loaded.
	noLoadTime = 300 * time.Millisecond
)

// newFixtureWithoutModel returns a fixture whose only endpoint has never held the base model.
func newFixtureWithoutModel() *fixture {
	f := newFixture()
	f.store.put(endpointPrefix+"e1", endpointWithoutModel)
	f.loadWindow = longWindow
	return f
}

// setOwnFormerRecord writes a record with which an earlier process of the instance was the planner of term 4.
func (f *fixture) setOwnFormerRecord(t *testing.T) {
	t.Helper()
	value, err := lease.Record{Holder: selfName, Address: selfAddress, Term: 4, Ordering: true}.Encode()
	require.NoError(t, err)
	f.store.put(recordKey, string(value))
}

// waitForOrdering waits until the record permits the instance to send orders in a term.
func (f *fixture) waitForOrdering(t *testing.T, term int64) {
	t.Helper()
	require.Eventually(t, func() bool { record, _ := f.store.record(t); return record.Term == term && record.Ordering }, waitLimit, pollInterval)
}

func (f *fixture) requireLoad(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return f.engine.loadCount() > 0 }, waitLimit, pollInterval, "the base model is loaded")
}

func (f *fixture) requireNoLoad(t *testing.T) {
	t.Helper()
	time.Sleep(noLoadTime)
	require.Zero(t, f.engine.loadCount(), "no load may begin yet")
}

// followResignedPlanner starts the instance with a simulated planner of term 4, which sends its load count and resigns.
func (f *fixture) followResignedPlanner(t *testing.T, recentLoads *int) {
	t.Helper()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	view := fullView(4)
	view.Endpoints[0].Models = nil
	view.Resigned, view.RecentLoads = true, recentLoads
	require.NoError(t, planner.Send(wireMessage{View: view}))
	go drain(planner)
	f.waitForOrdering(t, 5)
}

func TestNewPlannerCountsLoadsOfFormerViews(t *testing.T) {
	t.Run("loads above the bound of the weight store", func(t *testing.T) {
		f, count := newFixtureWithoutModel(), manyLoads
		f.followResignedPlanner(t, &count)
		f.requireNoLoad(t)
	})
	t.Run("no loads", func(t *testing.T) {
		f, count := newFixtureWithoutModel(), 0
		f.followResignedPlanner(t, &count)
		f.requireLoad(t)
	})
	t.Run("no load count from a planner of the previous version", func(t *testing.T) {
		f := newFixtureWithoutModel()
		f.followResignedPlanner(t, nil)
		f.requireNoLoad(t)
	})
	t.Run("loads whose window ends", func(t *testing.T) {
		f, count := newFixtureWithoutModel(), manyLoads
		f.loadWindow = time.Second
		f.followResignedPlanner(t, &count)
		f.requireNoLoad(t)
		f.requireLoad(t)
	})
}

func TestRestartedPlannerWaitsForReportedLoads(t *testing.T) {
	cases := map[string]struct {
		reported *wireLoads
		loads    bool
	}{
		"few loads":                    {&wireLoads{Term: 4, Count: 1, Age: 100 * time.Millisecond}, true},
		"many loads":                   {&wireLoads{Term: 4, Count: manyLoads, Age: 100 * time.Millisecond}, false},
		"many loads before the window": {&wireLoads{Term: 4, Count: manyLoads, Age: longWindow}, true},
		"few loads of another term":    {&wireLoads{Term: 3, Count: 1}, false},
		"no load count received":       {nil, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixtureWithoutModel()
			f.setOwnFormerRecord(t)
			f.start(t)
			f.waitForOrdering(t, 5)
			f.requireNoLoad(t)
			member := f.connectPeer(t)
			require.NoError(t, member.Send(wireMessage{Report: &wireReport{Instance: "peer", FormerLoads: test.reported}}))
			go drain(member)
			if test.loads {
				f.requireLoad(t)
			} else {
				f.requireNoLoad(t)
			}
		})
	}
}

func TestNewestFormerLoadsReportWins(t *testing.T) {
	f := newFixtureWithoutModel()
	f.setOwnFormerRecord(t)
	f.start(t)
	f.waitForOrdering(t, 5)
	newer, older := f.connectPeer(t), f.connectPeer(t)
	go drain(newer)
	go drain(older)
	require.NoError(t, newer.Send(wireMessage{Report: &wireReport{Instance: "young", FormerLoads: &wireLoads{Term: 4, Count: manyLoads}}}))
	f.waitForStatus(t, "has the first member", func(status coordinator.Status) bool { return status.Members == 2 })
	report := &wireReport{Instance: "old", FormerLoads: &wireLoads{Term: 4, Count: 0, Age: time.Second}}
	require.NoError(t, older.Send(wireMessage{Report: report}))
	f.waitForStatus(t, "has both members", func(status coordinator.Status) bool { return status.Members == 3 })
	f.requireNoLoad(t)
}

func TestLoadCountIsSentInViewsAndReported(t *testing.T) {
	f := newFixture()
	f.loadWindow = longWindow
	f.start(t)
	f.waitForOrdering(t, 1)
	member := f.joinMember(t, "peer")
	first := receiveUntil(t, member, func(m wireMessage) bool { return m.View != nil && m.View.RecentLoads != nil })
	assert.Zero(t, *first.View.RecentLoads)
	f.store.put(endpointPrefix+"e2", endpointWithoutModel)
	receiveUntil(t, member, func(m wireMessage) bool {
		return m.View != nil && m.View.RecentLoads != nil && *m.View.RecentLoads == 1
	})
	go drain(member)

	follower, count := newFixture(), 7
	view := fullView(4)
	view.RecentLoads = &count
	follower.followPlanner(t, view).Close()
	next := follower.acceptDial(t)
	report := receiveUntil(t, next, func(m wireMessage) bool { return m.Report != nil }).Report
	require.NotNil(t, report.FormerLoads)
	assert.EqualValues(t, 4, report.FormerLoads.Term)
	assert.Equal(t, 7, report.FormerLoads.Count)
	assert.Less(t, report.FormerLoads.Age, waitLimit)
}

func TestReleaseIncludesLoadsOfFormerHolder(t *testing.T) {
	f := newFixtureWithoutModel()
	value, err := lease.Record{Holder: "peer", Address: peerAddress, Term: 4, Ordering: true, Released: true, RecentLoads: manyLoads}.Encode()
	require.NoError(t, err)
	f.store.put(recordKey, string(value))
	f.start(t)
	f.waitForOrdering(t, 5)
	f.requireNoLoad(t)
	f.instance.Release(t.Context())
	record, _ := f.store.record(t)
	assert.True(t, record.Released)
	assert.Equal(t, manyLoads, record.RecentLoads, "the released record includes the loads of the former holder")
}
