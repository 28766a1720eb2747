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

// waitForVersionLog waits for the log line of a named version of an adapter and returns its fields.
func (f *fixture) waitForVersionLog(t *testing.T, name string) logrus.Fields {
	t.Helper()
	var found logrus.Fields
	require.Eventually(t, func() bool {
		for _, entry := range f.log.AllEntries() {
			if entry.Message == "version named" && entry.Data["adapter"] == "base/"+name {
				found = entry.Data
			}
		}
		return found != nil
	}, waitLimit, pollInterval, "no log line for the version of %s", name)
	return found
}

func (f *fixture) putVersion(name string) {
	f.store.put(versionPrefix+name, "2")
}

// forwardedVersion returns the key of a version that a peer forwards and that is not in the test's store.
func forwardedVersion(name string) []store.Item {
	return []store.Item{{Key: versionPrefix + name, Value: []byte("2"), Revision: 60}}
}

// TestVersionLogContainsSource names versions over each path on which a key can reach an instance.
func TestVersionLogContainsSource(t *testing.T) {
	t.Run("from the store", func(t *testing.T) {
		f := newFixture()
		f.putVersion("before")
		f.start(t)
		fields := f.waitForVersionLog(t, "before")
		assert.Equal(t, follow.FromRead, fields["source"])
		assert.NotContains(t, fields, "silence_ms", "there is no proof from before the first read")
		assert.NotContains(t, fields, "age_ms")

		putAt := time.Now()
		f.putVersion("watched")
		fields = f.waitForVersionLog(t, "watched")
		delay := time.Since(putAt)
		assert.Equal(t, follow.FromWatch, fields["source"])
		assert.LessOrEqual(t, fields["silence_ms"], (4*follow.ShortWatch + delay).Milliseconds(), "the three watches before, and the one that returns the version")
		assert.LessOrEqual(t, fields["age_ms"], (follow.ShortWatch + delay).Milliseconds(), "no call failed, so the version is at most as old as the previous answer")

		f.store.setDown(true)
		time.Sleep(follow.ShortWatch + 2*time.Second)
		f.putVersion("late")
		f.store.setDown(false)
		fields = f.waitForVersionLog(t, "late")
		assert.Equal(t, follow.FromRead, fields["source"])
		assert.Greater(t, fields["silence_ms"], time.Second.Milliseconds(), "the store did not answer for more than a second")
		assert.Equal(t, fields["silence_ms"], fields["age_ms"], "the version may be as old as the last proof")
	})
	t.Run("from the planner", func(t *testing.T) {
		f := newFixture()
		f.setOtherPlanner(t)
		f.start(t)
		planner := f.acceptDial(t)
		go drain(planner)
		f.waitForStatus(t, "has read the store", func(status coordinator.Status) bool { return status.Configuration > 0 })
		view := fullView(4)
		view.Items = forwardedVersion("viewed")
		require.NoError(t, planner.Send(wireMessage{View: view}))
		fields := f.waitForVersionLog(t, "viewed")
		assert.Equal(t, follow.FromPlanner, fields["source"])
		assert.Contains(t, fields, "silence_ms")
	})
	t.Run("from a member", func(t *testing.T) {
		f := newFixture()
		f.start(t)
		f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
		member := f.connectPeer(t)
		go drain(member)
		require.NoError(t, member.Send(wireMessage{Report: &wireReport{Instance: "peer", ConfigurationAt: 60, Items: forwardedVersion("reported")}}))
		assert.Equal(t, follow.FromMember, f.waitForVersionLog(t, "reported")["source"])
	})
	t.Run("from a seed", func(t *testing.T) {
		f := newFixture()
		f.store.setDown(true)
		f.start(t, peerAddress)
		seed := f.acceptDial(t)
		view := fullView(6, "a1")
		view.Items = forwardedVersion("seeded")
		require.NoError(t, seed.Send(wireMessage{View: view}))
		fields := f.waitForVersionLog(t, "seeded")
		assert.Equal(t, follow.FromSeed, fields["source"])
		assert.NotContains(t, fields, "silence_ms")
		assert.NotContains(t, fields, "age_ms")
	})
}

// unconfirmedTime is the time since the instance last had proof that it had all keys when a forwarded key arrives.
const unconfirmedTime = time.Second

// sendViewsFor lets the instance follow a planner whose views contain nothing new for the given time. It returns a view
// for the test to send next.
func (f *fixture) sendViewsFor(t *testing.T, planner *rawPeer, span time.Duration) *wireView {
	t.Helper()
	start := time.Now()
	newView := func() *wireView {
		v := fullView(4)
		v.Full, v.Endpoints, v.Made = false, nil, viewMadeAfter+time.Since(start)
		return v
	}
	first := fullView(4)
	first.Made = viewMadeAfter
	require.NoError(t, planner.Send(wireMessage{View: first}))
	for time.Since(start) < span {
		time.Sleep(viewInterval)
		require.NoError(t, planner.Send(wireMessage{View: newView()}))
	}
	return newView()
}

// TestForwardedVersionHasAgeOfView checks that a member that received nothing for a long time does not treat forwarded
// keys as new.
func TestForwardedVersionHasAgeOfView(t *testing.T) {
	const viewKeysAge = 400 * time.Millisecond
	for name, test := range map[string]struct {
		keysAge     time.Duration
		least, most time.Duration
	}{
		"newer than the last proof": {viewKeysAge, viewKeysAge, viewKeysAge + unconfirmedTime/2},
		"older than the last proof": {time.Minute, unconfirmedTime, 2 * unconfirmedTime},
		"no age in the view":        {0, unconfirmedTime, 2 * unconfirmedTime},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.setOtherPlanner(t)
			f.start(t)
			planner := f.acceptDial(t)
			go drain(planner)
			last := f.sendViewsFor(t, planner, unconfirmedTime)
			last.Items, last.KeysAge = forwardedVersion("viewed"), test.keysAge
			require.NoError(t, planner.Send(wireMessage{View: last}))
			age := f.waitForVersionLog(t, "viewed")["age_ms"]
			assert.GreaterOrEqual(t, age, test.least.Milliseconds())
			assert.LessOrEqual(t, age, test.most.Milliseconds())
		})
	}
}

// TestPlannerSendsAgeOfForwardedKeys uses a planner that saw one key change in its watch and found the other keys when it
// started.
func TestPlannerSendsAgeOfForwardedKeys(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	time.Sleep(follow.ShortWatch / 2)
	startRevision := f.store.currentRevision()
	f.putVersion("watched")
	f.waitForVersionLog(t, "watched")
	keysAfter := func(instance string, revision int64) *wireView {
		report := wireMessage{Report: &wireReport{Instance: instance, ConfigurationAt: revision}}
		member := f.connectPeer(t)
		require.NoError(t, member.Send(report))
		return receiveUntil(t, member, func(m wireMessage) bool {
			require.NoError(t, member.Send(report))
			return m.View != nil && len(m.View.Items) > 0
		}).View
	}
	recentView := keysAfter("lately", startRevision)
	assert.Len(t, recentView.Items, 1)
	assert.Positive(t, recentView.KeysAge)
	assert.Less(t, recentView.KeysAge, waitLimit)
	completeView := keysAfter("started", 0)
	assert.Greater(t, len(completeView.Items), 1)
	assert.Zero(t, completeView.KeysAge, "keys that the planner read at its start may have any age")
}

// TestReportedRevisionExcludesKeysChangedDuringPagedRead covers keys that are read in several pages. The configuration
// changes after its page was read, and a version is named before its own page is read. The member reported that it had all
// keys up to the revision of that version. If its watch then failed, the planner, which sends members the keys that they
// lack, would not have sent the new configuration.
func TestReportedRevisionExcludesKeysChangedDuringPagedRead(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	var changed int64
	f.store.afterFirstPage = func() {
		f.store.put(configurationKey, "newer")
		changed = f.store.currentRevision()
		f.putVersion("paged")
		f.store.silenceWatches()
	}
	f.start(t)
	planner := f.acceptDial(t)
	f.waitForVersionLog(t, "paged")
	require.NoError(t, planner.Send(wireMessage{View: fullView(4)}))
	for range 3 {
		message := receiveUntil(t, planner, func(m wireMessage) bool { return m.Report != nil })
		assert.Less(t, message.Report.ConfigurationAt, changed)
	}
}
