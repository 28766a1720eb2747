// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

var (
	start       = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapter     = deployment.Adapter{Model: "base", Name: "a1"}
	errNoAnswer = errors.New("no answer")
)

func item(key string, revision int64) store.Item {
	return store.Item{Key: key, Value: fmt.Appendf(nil, "%s at %d", key, revision), Revision: revision}
}

func TestPutAcceptsOnlyNewerKeys(t *testing.T) {
	keys := follow.NewKeys()
	assert.Zero(t, keys.Revision())
	assert.True(t, keys.Put(item("k", 5)))
	assert.False(t, keys.Put(item("k", 5)), "repeated")
	assert.False(t, keys.Put(item("k", 4)), "an older key that was delayed")
	assert.True(t, keys.Put(item("other", 3)), "another key may be older")
	keys.MarkComplete(5)
	assert.EqualValues(t, 5, keys.Revision())
	assert.True(t, keys.Put(item("k", 6)))
	keys.MarkComplete(6)
	assert.EqualValues(t, 6, keys.Revision())

	assert.ElementsMatch(t, []store.Item{item("k", 6), item("other", 3)}, keys.After(2))
	assert.ElementsMatch(t, []store.Item{item("k", 6)}, keys.After(3))
	assert.ElementsMatch(t, []store.Item{item("k", 6)}, keys.After(5))
	assert.Empty(t, keys.After(6))
}

// TestRevisionExcludesKeysAfterMissingChanges guards against missing keys at a peer. A peer needs the revision up to which no
// change is missing, not the newest revision of a key, in order to send the missing changes.
func TestRevisionExcludesKeysAfterMissingChanges(t *testing.T) {
	keys := follow.NewKeys()
	keys.Put(item("a", 5))
	keys.Put(item("z", 12))
	keys.MarkComplete(10)
	assert.EqualValues(t, 5, keys.Revision(), "a may have changed at 11, after its page was read")
	keys.Put(item("a", 11))
	keys.MarkComplete(11)
	assert.EqualValues(t, 11, keys.Revision())
	keys.MarkComplete(12)
	assert.EqualValues(t, 12, keys.Revision())
	keys.MarkComplete(9)
	assert.EqualValues(t, 12, keys.Revision(), "an earlier revision does not lower it")
	keys.MarkComplete(100)
	assert.EqualValues(t, 12, keys.Revision(), "changes of other keys do not concern a peer")
}

func TestVersionsOnlyIncrease(t *testing.T) {
	versions := follow.NewVersions()
	assert.Zero(t, versions.Latest(adapter))
	assert.False(t, versions.Put(start, start, adapter, 0))
	assert.True(t, versions.Put(start, start, adapter, 2))
	assert.False(t, versions.Put(start.Add(time.Hour), start.Add(time.Hour), adapter, 2), "repeated")
	assert.False(t, versions.Put(start.Add(time.Hour), start.Add(time.Hour), adapter, 1))
	assert.EqualValues(t, 2, versions.Latest(adapter))
	assert.Equal(t, map[deployment.Adapter]int64{adapter: 2}, maps.Collect(versions.All()))
	for range versions.All() {
		break
	}
}

// TestFormerVersionIsAllowedForHalfOfLimit names version 3 and checks which versions may run beside it over time.
func TestFormerVersionIsAllowedForHalfOfLimit(t *testing.T) {
	const limit = 2 * time.Second
	versions := follow.NewVersions()
	former := func(after time.Duration) (int64, time.Duration) {
		return versions.FormerVersion(start.Add(after), adapter, limit)
	}
	oldest, wait := former(time.Hour)
	assert.Zero(t, oldest)
	assert.Zero(t, wait, "no version is named")
	versions.Put(start, start, adapter, 3)
	for after, left := range map[time.Duration]time.Duration{
		0: time.Second, 600 * time.Millisecond: 400 * time.Millisecond, time.Second - 1: 1,
	} {
		oldest, wait = former(after)
		assert.Zero(t, oldest, "any")
		assert.Equal(t, left, wait)
	}
	versions.Put(start.Add(500*time.Millisecond), start.Add(500*time.Millisecond), adapter, 3)
	for _, after := range []time.Duration{time.Second, time.Hour} {
		oldest, wait = former(after)
		assert.EqualValues(t, 3, oldest, "no request may begin on an older version any more, and a repeated version does not extend the limit")
		assert.LessOrEqual(t, wait, time.Duration(0))
	}
	assert.EqualValues(t, 3, versions.Latest(adapter))
}

// TestEachOutdatedVersionHasItsOwnLimit checks that a newer version starts the limit of the version before it and does not extend
// the limits of earlier ones.
func TestEachOutdatedVersionHasItsOwnLimit(t *testing.T) {
	const limit = 2 * time.Second
	for name, test := range map[string]struct {
		named  []time.Duration
		oldest int64
		wait   time.Duration
	}{
		"the limit of 1 passes when 3 is named":           {[]time.Duration{-time.Second, 0}, 2, time.Second},
		"the limit of 1 has passed and that of 2 has not": {[]time.Duration{-time.Second, -400 * time.Millisecond}, 2, 600 * time.Millisecond},
		"the limit of 1 passes first":                     {[]time.Duration{-700 * time.Millisecond, -100 * time.Millisecond}, 0, 300 * time.Millisecond},
		"the limits of 1 and 2 have passed":               {[]time.Duration{-5 * time.Second, -2 * time.Second, -time.Millisecond}, 3, 999 * time.Millisecond},
		"all limits have passed":                          {[]time.Duration{-5 * time.Second, -2 * time.Second}, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			versions := follow.NewVersions()
			for i, at := range test.named {
				versions.Put(start.Add(at), start.Add(at), adapter, int64(i+2))
			}
			for range 2 {
				oldest, wait := versions.FormerVersion(start, adapter, limit)
				assert.Equal(t, test.oldest, oldest)
				assert.Equal(t, test.wait, wait)
			}
			assert.EqualValues(t, len(test.named)+1, versions.Latest(adapter))
		})
	}
}

// TestNewerSinceReturnsTimeOfFirstNewerVersion names the versions 2 to 4, a second apart.
func TestNewerSinceReturnsTimeOfFirstNewerVersion(t *testing.T) {
	versions := follow.NewVersions()
	_, named := versions.NewerSince(adapter, 0)
	assert.False(t, named, "no version is named")
	for i := range 3 {
		versions.Put(start.Add(time.Duration(i)*time.Second), start.Add(time.Duration(i)*time.Second), adapter, int64(i+2))
	}
	for held, after := range map[int64]time.Duration{0: 0, 1: 0, 2: time.Second, 3: 2 * time.Second} {
		since, named := versions.NewerSince(adapter, held)
		assert.True(t, named)
		assert.Equal(t, start.Add(after), since, "held %d", held)
	}
	for _, held := range []int64{4, 5} {
		_, named = versions.NewerSince(adapter, held)
		assert.False(t, named, "held %d", held)
	}
	_, named = versions.NewerSince(deployment.Adapter{Model: "base", Name: "a2"}, 0)
	assert.False(t, named, "another adapter")
}

// TestNewerSinceIsKnownWhileVersionMayServe checks that the time since when a newer version is named is known for as long as a
// version may serve.
func TestNewerSinceIsKnownWhileVersionMayServe(t *testing.T) {
	const limit = 2 * time.Second
	versions := follow.NewVersions()
	for version := int64(2); version <= 20; version++ {
		named := start.Add(time.Duration(version) * 300 * time.Millisecond)
		versions.Put(named, named, adapter, version)
		oldest, wait := versions.FormerVersion(named, adapter, limit)
		for held := max(oldest, 1); held < version; held++ {
			since, ok := versions.NewerSince(adapter, held)
			assert.True(t, ok)
			assert.Less(t, named.Sub(since), limit/2, "%d while %d is named, for %v", held, version, wait)
		}
	}
}

// TestStoredVersionsAreBounded names a version each 10 ms. When versions are merged, no limit of a version may
// increase.
func TestStoredVersionsAreBounded(t *testing.T) {
	const limit = 2 * time.Second
	versions := follow.NewVersions()
	for version := int64(2); version <= 1000; version++ {
		versions.Put(start.Add(time.Duration(version)*10*time.Millisecond), start.Add(time.Duration(version)*10*time.Millisecond), adapter, version)
	}
	assert.LessOrEqual(t, versions.Kept(adapter), 8)
	assert.EqualValues(t, 1000, versions.Latest(adapter))
	oldest, wait := versions.FormerVersion(start.Add(10*time.Second), adapter, limit)
	assert.GreaterOrEqual(t, oldest, int64(900), "named a second before")
	assert.LessOrEqual(t, wait, time.Second)
	oldest, wait = versions.FormerVersion(start.Add(11*time.Second), adapter, limit)
	assert.EqualValues(t, 1000, oldest)
	assert.LessOrEqual(t, wait, time.Duration(0))
}

// TestFirstNewerReturnsAgeAfterLimitHasPassed checks that the age of a newer version is known whether the limit of the older one
// has passed or not.
func TestFirstNewerReturnsAgeAfterLimitHasPassed(t *testing.T) {
	const limit = 2 * time.Second
	versions := follow.NewVersions()
	newer, _ := versions.FirstNewer(start, adapter, 1)
	assert.Zero(t, newer, "no version is named")
	versions.Put(start, start, adapter, 2)
	versions.Put(start.Add(time.Second), start.Add(time.Second), adapter, 5)
	versions.Put(start.Add(1500*time.Millisecond), start.Add(1500*time.Millisecond), adapter, 5)
	now := start.Add(time.Minute)
	versions.FormerVersion(now, adapter, limit)
	for version, want := range map[int64]struct {
		newer int64
		age   time.Duration
	}{
		1: {2, time.Minute}, 2: {5, 59 * time.Second}, 4: {5, 59 * time.Second}, 5: {0, 0}, 6: {0, 0},
	} {
		newer, age := versions.FirstNewer(now, adapter, version)
		assert.Equal(t, want.newer, newer, "after %d", version)
		assert.Equal(t, want.age, age, "after %d", version)
	}
}

// TestComparedVersionsAreBounded checks that FirstNewer returns a later version in place of those that were removed, so that no age
// is too high.
func TestComparedVersionsAreBounded(t *testing.T) {
	versions := follow.NewVersions()
	for version := int64(1); version <= 100; version++ {
		versions.Put(start.Add(time.Duration(version)*time.Second), start.Add(time.Duration(version)*time.Second), adapter, version)
	}
	newer, age := versions.FirstNewer(start.Add(100*time.Second), adapter, 1)
	assert.EqualValues(t, 85, newer)
	assert.Equal(t, 15*time.Second, age)
	newer, age = versions.FirstNewer(start.Add(100*time.Second), adapter, 99)
	assert.EqualValues(t, 100, newer)
	assert.Zero(t, age)
}

// TestVersionOfUnknownAgeEndsLimitOfOlderOne covers the versions that a process finds when it starts: they may be hours old.
func TestVersionOfUnknownAgeEndsLimitOfOlderOne(t *testing.T) {
	const limit = 2 * time.Second
	versions := follow.NewVersions()
	versions.Put(start, time.Time{}, adapter, 2)
	oldest, wait := versions.FormerVersion(start, adapter, limit)
	assert.EqualValues(t, 2, oldest)
	assert.LessOrEqual(t, wait, time.Duration(0))
	newer, age := versions.FirstNewer(start.Add(time.Minute), adapter, 1)
	assert.EqualValues(t, 2, newer)
	assert.Equal(t, time.Minute, age, "the version counts for at least as long as it has been known")
	versions.Put(start, start, adapter, 3)
	oldest, wait = versions.FormerVersion(start.Add(400*time.Millisecond), adapter, limit)
	assert.EqualValues(t, 2, oldest)
	assert.Equal(t, 600*time.Millisecond, wait, "a later version starts the limit of the version before it")
}

// TestVersionCountsNoEarlierThanPreviousOne covers a version whose origin proves an earlier time than that of the previous version.
func TestVersionCountsNoEarlierThanPreviousOne(t *testing.T) {
	versions := follow.NewVersions()
	_, newer := versions.NewerSince(adapter, 1)
	assert.False(t, newer)
	versions.Put(start, start, adapter, 2)
	versions.Put(start.Add(-time.Second), start.Add(-time.Second), adapter, 3)
	versions.Put(start.Add(time.Second), start.Add(time.Second), adapter, 4)
	for version, since := range map[int64]time.Time{1: start, 2: start, 3: start.Add(time.Second)} {
		got, newer := versions.NewerSince(adapter, version)
		assert.True(t, newer)
		assert.Equal(t, since, got, "version %d", version)
	}
	_, newer = versions.NewerSince(adapter, 4)
	assert.False(t, newer)
	versions.FormerVersion(start.Add(time.Hour), adapter, time.Second)
	since, newer := versions.NewerSince(adapter, 1)
	assert.True(t, newer, "its limit has passed")
	assert.Equal(t, start.Add(time.Second), since)
}

// TestChangedSinceIncludesReplacedChanges checks the age of the changes that a member lacks, as the planner sends it. It must
// include changes that a later change of the same key replaced.
func TestChangedSinceIncludesReplacedChanges(t *testing.T) {
	keys := follow.NewKeys()
	take := func(revision int64, since time.Time) {
		keys.Put(item("k", revision))
		keys.RecordChange(since)
		keys.MarkComplete(revision)
	}
	_, known := keys.ChangedSince(0)
	assert.False(t, known, "nothing is missing")
	take(5, time.Time{})
	take(6, start)
	take(7, start.Add(time.Second))
	take(8, start.Add(-time.Second))
	for revision, want := range map[int64]time.Time{5: start.Add(-time.Second), 7: start.Add(-time.Second)} {
		since, known := keys.ChangedSince(revision)
		assert.True(t, known)
		assert.Equal(t, want, since)
	}
	take(9, start.Add(2*time.Second))
	since, known := keys.ChangedSince(8)
	assert.True(t, known)
	assert.Equal(t, start.Add(2*time.Second), since)
	for revision := range int64(5) {
		_, known = keys.ChangedSince(revision)
		assert.False(t, known, "the age of the first keys is unknown")
	}
	_, known = keys.ChangedSince(9)
	assert.False(t, known)
	for revision := int64(10); revision < 100; revision++ {
		take(revision, start)
	}
	_, known = keys.ChangedSince(30)
	assert.False(t, known, "too many changes ago")
	_, known = keys.ChangedSince(90)
	assert.True(t, known)
}

func TestSituationDecidesReader(t *testing.T) {
	const long, short = 20 * time.Second, 550 * time.Millisecond
	cases := map[string]struct {
		situation follow.Situation
		endpoints follow.Reader
		wait      time.Duration
	}{
		"process start":                    {follow.Situation{}, follow.ReadByPolling, short},
		"fresh planner, endpoints unknown": {follow.Situation{PlannerFresh: true}, follow.ReadByPolling, long},
		"fresh planner":                    {follow.Situation{PlannerFresh: true, EndpointsKnown: true}, follow.ReadByPlanner, long},
		"silent planner":                   {follow.Situation{EndpointsKnown: true}, follow.ReadByPolling, short},
		"this instance is the planner":     {follow.Situation{Planning: true, EndpointsKnown: true}, follow.ReadByWatching, short},
		"this instance is the planner, with a fresh view of another": {follow.Situation{Planning: true, PlannerFresh: true, EndpointsKnown: true}, follow.ReadByWatching, short},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.endpoints, test.situation.Endpoints())
			assert.Equal(t, test.wait, test.situation.ConfigurationWait())
			assert.Equal(t, test.wait == long, test.situation.ReliesOnPlanner())
		})
	}
}

func TestSecondFailureOfWatchReadsAllKeys(t *testing.T) {
	var watch follow.Watch
	assert.Equal(t, follow.Apply, watch.RecordResult(nil))
	assert.Equal(t, follow.RetryWatch, watch.RecordResult(errNoAnswer))
	assert.Equal(t, follow.Apply, watch.RecordResult(nil))
	assert.Equal(t, follow.RetryWatch, watch.RecordResult(errNoAnswer), "an answer resets the count")
	assert.Equal(t, follow.ReadAll, watch.RecordResult(errNoAnswer))
	watch = follow.Watch{}
	assert.Equal(t, follow.ReadAll, watch.RecordResult(fmt.Errorf("watch: %w", store.ErrCompacted)), "missed changes are not sent again")
}
