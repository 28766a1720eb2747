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
	// manyLoads are more base models' loads than the weight store's bound allows in any window of these tests.
	manyLoads = 1 << 20
	// longWindow is a window that no test outlasts.
	longWindow = 10 * time.Minute
	// noLoadFor is for how long nothing may be loaded where loads are held back.
	noLoadFor = 300 * time.Millisecond
)

// emptySite is a site whose one endpoint has never held the base model.
func emptySite() *site {
	s := newSite()
	s.store.put(endpointPrefix+"e1", emptyEndpoint)
	s.loadWindow = longWindow
	return s
}

// plannedBefore puts a record into the store by which the instance's own earlier process planned in term 4.
func (s *site) plannedBefore(t *testing.T) {
	t.Helper()
	value, err := lease.Record{Holder: selfName, Address: selfAddress, Term: 4, Ordering: true}.Encode()
	require.NoError(t, err)
	s.store.put(recordKey, string(value))
}

// begins waits until the instance may order in a term.
func (s *site) begins(t *testing.T, term int64) {
	t.Helper()
	require.Eventually(t, func() bool { record, _ := s.store.record(t); return record.Term == term && record.Ordering }, waitLimit, lookPace)
}

func (s *site) loadsSoon(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return s.engines.loadCount() > 0 }, waitLimit, lookPace, "the base model is loaded")
}

func (s *site) loadsNothing(t *testing.T) {
	t.Helper()
	time.Sleep(noLoadFor)
	require.Zero(t, s.engines.loadCount(), "loads are held back")
}

// resign lets the planner of term 4, which the test plays, tell its loads and that it gives no more orders.
func (s *site) resign(t *testing.T, recentLoads *int) {
	t.Helper()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	told := fullView(4)
	told.Endpoints[0].Models = nil
	told.Resigned, told.RecentLoads = true, recentLoads
	require.NoError(t, planner.Send(wireMessage{View: told}))
	go drain(planner)
	s.begins(t, 5)
}

func TestASuccessorCountsTheLoadsThatViewsTold(t *testing.T) {
	t.Run("as many as the weight store's bound", func(t *testing.T) {
		s, count := emptySite(), manyLoads
		s.resign(t, &count)
		s.loadsNothing(t)
	})
	t.Run("none", func(t *testing.T) {
		s, count := emptySite(), 0
		s.resign(t, &count)
		s.loadsSoon(t)
	})
	t.Run("a planner of the version before, which tells none", func(t *testing.T) {
		s := emptySite()
		s.resign(t, nil)
		s.loadsNothing(t)
	})
	t.Run("until their window is over", func(t *testing.T) {
		s, count := emptySite(), manyLoads
		s.loadWindow = time.Second
		s.resign(t, &count)
		s.loadsNothing(t)
		s.loadsSoon(t)
	})
}

func TestAPlannerThatStartsAgainWaitsForWhatItsMembersHeard(t *testing.T) {
	cases := map[string]struct {
		told  *wireLoads
		loads bool
	}{
		"few loads":                   {&wireLoads{Term: 4, Count: 1, Age: 100 * time.Millisecond}, true},
		"many loads":                  {&wireLoads{Term: 4, Count: manyLoads, Age: 100 * time.Millisecond}, false},
		"many, but before the window": {&wireLoads{Term: 4, Count: manyLoads, Age: longWindow}, true},
		"few loads of another term":   {&wireLoads{Term: 3, Count: 1}, false},
		"a member that heard nothing": {nil, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := emptySite()
			s.plannedBefore(t)
			s.start(t)
			s.begins(t, 5)
			s.loadsNothing(t)
			member := s.join(t)
			require.NoError(t, member.Send(wireMessage{Report: &wireReport{Instance: "peer", FormerLoads: one.told}}))
			go drain(member)
			if one.loads {
				s.loadsSoon(t)
			} else {
				s.loadsNothing(t)
			}
		})
	}
}

func TestTheYoungestWordOfFormerLoadsCounts(t *testing.T) {
	s := emptySite()
	s.plannedBefore(t)
	s.start(t)
	s.begins(t, 5)
	young, old := s.join(t), s.join(t)
	go drain(young)
	go drain(old)
	require.NoError(t, young.Send(wireMessage{Report: &wireReport{Instance: "young", FormerLoads: &wireLoads{Term: 4, Count: manyLoads}}}))
	s.waitForStatus(t, "knows the first", func(status coordinator.Status) bool { return status.Members == 2 })
	report := &wireReport{Instance: "old", FormerLoads: &wireLoads{Term: 4, Count: 0, Age: time.Second}}
	require.NoError(t, old.Send(wireMessage{Report: report}))
	s.waitForStatus(t, "knows both", func(status coordinator.Status) bool { return status.Members == 3 })
	s.loadsNothing(t)
}

func TestAPlannerTellsItsLoadsAtOnceAndAFollowerPassesThemOn(t *testing.T) {
	s := newSite()
	s.loadWindow = longWindow
	s.start(t)
	s.begins(t, 1)
	member := s.joinAs(t, "peer")
	first := receive(t, member, func(m wireMessage) bool { return m.View != nil && m.View.RecentLoads != nil })
	assert.Zero(t, *first.View.RecentLoads)
	s.store.put(endpointPrefix+"e2", emptyEndpoint)
	receive(t, member, func(m wireMessage) bool {
		return m.View != nil && m.View.RecentLoads != nil && *m.View.RecentLoads == 1
	})
	go drain(member)

	follower, count := newSite(), 7
	told := fullView(4)
	told.RecentLoads = &count
	follower.follow(t, told).Close()
	next := follower.link(t)
	report := receive(t, next, func(m wireMessage) bool { return m.Report != nil }).Report
	require.NotNil(t, report.FormerLoads)
	assert.EqualValues(t, 4, report.FormerLoads.Term)
	assert.Equal(t, 7, report.FormerLoads.Count)
	assert.Less(t, report.FormerLoads.Age, waitLimit)
}

func TestAReleaseTellsTheLoadsOfTheHolderBeforeToo(t *testing.T) {
	s := emptySite()
	value, err := lease.Record{Holder: "peer", Address: peerAddress, Term: 4, Ordering: true, Released: true, RecentLoads: manyLoads}.Encode()
	require.NoError(t, err)
	s.store.put(recordKey, string(value))
	s.start(t)
	s.begins(t, 5)
	s.loadsNothing(t)
	s.control.Release(t.Context())
	record, _ := s.store.record(t)
	assert.True(t, record.Released)
	assert.Equal(t, manyLoads, record.RecentLoads, "a planner that is replaced soon passes on what it was told")
}
