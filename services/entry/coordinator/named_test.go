// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

// namedLine waits for the line that tells that a version of an adapter was named.
func (s *site) namedLine(t *testing.T, name string) logrus.Fields {
	t.Helper()
	var found logrus.Fields
	require.Eventually(t, func() bool {
		for _, entry := range s.log.AllEntries() {
			if entry.Message == "version named" && entry.Data["adapter"] == "base/"+name {
				found = entry.Data
			}
		}
		return found != nil
	}, waitLimit, lookPace, "no line names %s", name)
	return found
}

func (s *site) putVersion(name string) {
	s.store.put(versionPrefix+name, "2")
}

// passedOn is the key of a version that a peer passes on and the store of the test does not have.
func passedOn(name string) []store.Item {
	return []store.Item{{Key: versionPrefix + name, Value: []byte("2"), Revision: 60}}
}

// TestTheLineOfANamedVersionTellsItsWay names versions on each way on which a key can reach an instance.
func TestTheLineOfANamedVersionTellsItsWay(t *testing.T) {
	t.Run("from the store", func(t *testing.T) {
		s := newSite()
		s.putVersion("before")
		s.start(t)
		line := s.namedLine(t, "before")
		assert.Equal(t, follow.FromRead, line["source"])
		assert.NotContains(t, line, "silence_ms", "nothing is known of the time before the first reading")
		assert.NotContains(t, line, "age_ms")

		putAt := time.Now()
		s.putVersion("watched")
		line = s.namedLine(t, "watched")
		onItsWay := time.Since(putAt)
		assert.Equal(t, follow.FromWatch, line["source"])
		assert.LessOrEqual(t, line["silence_ms"], (4*follow.ShortWatch + onItsWay).Milliseconds(), "the three watches before, and the one that brings it")
		assert.LessOrEqual(t, line["age_ms"], (follow.ShortWatch + onItsWay).Milliseconds(), "nothing failed before: as old as the answer before")

		s.store.setDown(true)
		time.Sleep(follow.ShortWatch + 2*time.Second)
		s.putVersion("late")
		s.store.setDown(false)
		line = s.namedLine(t, "late")
		assert.Equal(t, follow.FromRead, line["source"])
		assert.Greater(t, line["silence_ms"], time.Second.Milliseconds(), "the store did not answer before")
		assert.Equal(t, line["silence_ms"], line["age_ms"], "it may be as old as the silence")
	})
	t.Run("from the planner", func(t *testing.T) {
		s := newSite()
		s.planElsewhere(t)
		s.start(t)
		planner := s.link(t)
		go drain(planner)
		s.waitForStatus(t, "reads the store", func(status coordinator.Status) bool { return status.Configuration > 0 })
		told := fullView(4)
		told.Items = passedOn("viewed")
		require.NoError(t, planner.Send(wireMessage{View: told}))
		line := s.namedLine(t, "viewed")
		assert.Equal(t, follow.FromPlanner, line["source"])
		assert.Contains(t, line, "silence_ms")
	})
	t.Run("from a member", func(t *testing.T) {
		s := newSite()
		s.start(t)
		s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
		member := s.join(t)
		go drain(member)
		require.NoError(t, member.Send(wireMessage{Report: &wireReport{Instance: "peer", ConfigurationAt: 60, Items: passedOn("reported")}}))
		assert.Equal(t, follow.FromMember, s.namedLine(t, "reported")["source"])
	})
	t.Run("from a seed", func(t *testing.T) {
		s := newSite()
		s.store.setDown(true)
		s.start(t, peerAddress)
		seed := s.link(t)
		told := fullView(6, "a1")
		told.Items = passedOn("seeded")
		require.NoError(t, seed.Send(wireMessage{View: told}))
		line := s.namedLine(t, "seeded")
		assert.Equal(t, follow.FromSeed, line["source"])
		assert.NotContains(t, line, "silence_ms")
		assert.NotContains(t, line, "age_ms")
	})
}

// proofless is how long the instance of a test has had no proof that it had all keys when a key comes to it.
const proofless = time.Second

// planFor lets the instance follow a planner that tells nothing new for a time, and gives a view for what it tells then.
func (s *site) planFor(t *testing.T, planner *peer, span time.Duration) *wireView {
	t.Helper()
	begun := time.Now()
	tell := func() *wireView {
		v := fullView(4)
		v.Full, v.Endpoints, v.Made = false, nil, viewMade+time.Since(begun)
		return v
	}
	first := fullView(4)
	first.Made = viewMade
	require.NoError(t, planner.Send(wireMessage{View: first}))
	for time.Since(begun) < span {
		time.Sleep(viewPace)
		require.NoError(t, planner.Send(wireMessage{View: tell()}))
	}
	return tell()
}

// TestWhatAPlannerPassesOnIsAsOldAsItSays: a member that was long without news must not take what it lacked for fresh.
func TestWhatAPlannerPassesOnIsAsOldAsItSays(t *testing.T) {
	const told = 400 * time.Millisecond
	for name, test := range map[string]struct {
		keysAge     time.Duration
		least, most time.Duration
	}{
		"younger than the own proof":              {told, told, told + proofless/2},
		"older than the own proof":                {time.Minute, proofless, 2 * proofless},
		"by a planner that does not tell the age": {0, proofless, 2 * proofless},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			s.planElsewhere(t)
			s.start(t)
			planner := s.link(t)
			go drain(planner)
			last := s.planFor(t, planner, proofless)
			last.Items, last.KeysAge = passedOn("viewed"), test.keysAge
			require.NoError(t, planner.Send(wireMessage{View: last}))
			age := s.namedLine(t, "viewed")["age_ms"]
			assert.GreaterOrEqual(t, age, test.least.Milliseconds())
			assert.LessOrEqual(t, age, test.most.Milliseconds())
		})
	}
}

// TestAPlannerTellsHowOldIsWhatItPassesOn: it watched one key change, and found the others when it started.
func TestAPlannerTellsHowOldIsWhatItPassesOn(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	time.Sleep(follow.ShortWatch / 2)
	known := s.store.at()
	s.putVersion("watched")
	s.namedLine(t, "watched")
	passedOnAfter := func(instance string, revision int64) *wireView {
		report := wireMessage{Report: &wireReport{Instance: instance, ConfigurationAt: revision}}
		member := s.join(t)
		require.NoError(t, member.Send(report))
		return receive(t, member, func(m wireMessage) bool {
			require.NoError(t, member.Send(report))
			return m.View != nil && len(m.View.Items) > 0
		}).View
	}
	lately := passedOnAfter("lately", known)
	assert.Len(t, lately.Items, 1)
	assert.Positive(t, lately.KeysAge)
	assert.Less(t, lately.KeysAge, waitLimit)
	started := passedOnAfter("started", 0)
	assert.Greater(t, len(started.Items), 1)
	assert.Zero(t, started.KeysAge, "what the planner found at its start may be of any age")
}

// TestAMemberReportsNoKeyThatHidesAnOlderOne is about keys that come in several pages, while the configuration changes after its page
// was read, and a version is named before its own is. The member said that it knew all keys up to that name: had its watch failed
// then, the planner, who tells it what it lacks, would not have told it the configuration.
func TestAMemberReportsNoKeyThatHidesAnOlderOne(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	var changed int64
	s.store.betweenPages = func() {
		s.store.put(configurationKey, "newer")
		changed = s.store.at()
		s.putVersion("paged")
		s.store.setDeaf()
	}
	s.start(t)
	planner := s.link(t)
	s.namedLine(t, "paged")
	require.NoError(t, planner.Send(wireMessage{View: fullView(4)}))
	for range 3 {
		told := receive(t, planner, func(m wireMessage) bool { return m.Report != nil })
		assert.Less(t, told.Report.ConfigurationAt, changed)
	}
}
